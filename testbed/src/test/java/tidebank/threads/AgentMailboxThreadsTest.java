package tidebank.threads;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.SortedMap;
import java.util.TreeMap;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import tidebank.fleet.AgentMailbox;

/** What loop and agent hand each other, under all interleavings of a few of their steps. */
class AgentMailboxThreadsTest {
  private static SortedMap<String, Long> counters(long scans) {
    return new TreeMap<>(java.util.Map.of("scans", scans));
  }

  /** As it is. */
  public static class Real {
    private final AgentMailbox handover = new AgentMailbox();

    @Operation(nonParallelGroup = "agent")
    public boolean ask() {
      return handover.requestCounters();
    }

    @Operation(nonParallelGroup = "loop")
    public void tell(long scans) {
      handover.deliverCounters(counters(scans));
    }

    @Operation(nonParallelGroup = "agent")
    public String take() {
      return String.valueOf(handover.takeCounters());
    }

    @Operation
    public void news() {
      handover.notifyAssignment();
    }

    @Operation(nonParallelGroup = "agent")
    public boolean takeNews() {
      return handover.takeAssignmentNotice();
    }

    @Operation
    public void leave() {
      handover.requestLeave();
    }

    @Operation
    public boolean leaving() {
      return handover.leaveRequested();
    }
  }

  /** Planted: what was told is read and then cleared, so that what came in between is lost. */
  public static class ReadThenCleared {
    private volatile SortedMap<String, Long> counted;

    @Operation(nonParallelGroup = "loop")
    public void tell(long scans) {
      counted = counters(scans);
    }

    @Operation(nonParallelGroup = "agent")
    public String take() {
      SortedMap<String, Long> told = counted;
      counted = null;
      return String.valueOf(told);
    }
  }

  private static ModelCheckingOptions options() {
    return new ModelCheckingOptions()
        .threads(2)
        .actorsPerThread(3)
        .actorsBefore(0)
        .actorsAfter(1)
        .iterations(30)
        .invocationsPerIteration(1000)
        .minimizeFailedScenario(false);
  }

  @Test
  void everyOrderIsOneThatCouldHaveBeenOneAfterTheOther() {
    assertThatCode(() -> options().check(Real.class)).doesNotThrowAnyException();
  }

  @Test
  void whatIsReadAndThenClearedIsFound() {
    assertThatThrownBy(() -> options().check(ReadThenCleared.class))
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining("Invalid execution results");
  }
}
