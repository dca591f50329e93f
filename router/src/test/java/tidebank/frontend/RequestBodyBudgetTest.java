package tidebank.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which incomplete bodies are dropped, so that their memory stays within the budget. */
class RequestBodyBudgetTest {
  private static final long MAX_BYTES = 100;

  private final RequestBodyBudget budget = new RequestBodyBudget(MAX_BYTES);
  private final List<String> dropped = new ArrayList<>();

  private RequestBodyBudget.Body body(String name) {
    return () -> dropped.add(name);
  }

  /** Guards against a budget that a flood of large bodies takes from small ones. */
  @Test
  void largestBodyIsDropped() {
    budget.resize(body("small"), 10);
    budget.resize(body("large"), 60);
    budget.resize(body("medium"), 40);
    assertThat(dropped).containsExactly("large");
  }

  /** Guards against clients that refuse each other's requests by sending the same size anew. */
  @Test
  void olderOfTwoEqualBodiesIsDropped() {
    budget.resize(body("older"), 60);
    budget.resize(body("newer"), 60);
    assertThat(dropped).containsExactly("older");
  }

  /** Guards against a body that exceeds the budget on its own and is held all the same. */
  @Test
  void bodyThatExceedsTheBudgetAloneIsDropped() {
    budget.resize(body("only"), 101);
    assertThat(dropped).containsExactly("only");
    assertThat(budget.peakBytes()).isZero();
  }

  /** Guards against bytes that stay counted after their request is complete, dropped or smaller. */
  @Test
  void bytesOfEndedBodiesAreNotCounted() {
    RequestBodyBudget.Body first = body("first");
    budget.resize(first, 90);
    budget.resize(first, 100);
    budget.release(first);
    budget.release(first);
    budget.resize(body("second"), 100);
    assertThat(dropped).isEmpty();
    assertThat(budget.peakBytes()).isEqualTo(100);
  }

  /** Guards against a drop of a body within its fair share, whatever the others hold. */
  @Test
  void bodyWithinItsFairShareIsNeverDropped() {
    int connections = 10;
    for (int i = 0; i < connections; i++) {
      budget.resize(body("fair"), (int) MAX_BYTES / connections);
    }
    budget.resize(body("unfair"), (int) MAX_BYTES / connections + 1);
    assertThat(dropped).containsExactly("unfair");
  }
}
