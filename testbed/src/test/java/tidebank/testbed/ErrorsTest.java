package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tidebank.errors.ErrorCondition;
import tidebank.errors.TidebankException;

/** Guards against error conditions that the page docs/errors.md lacks or describes differently. */
class ErrorsTest {
  private static final Pattern HEADING =
      Pattern.compile("^## (TB-\\d{4}) (\\w+)$", Pattern.MULTILINE);

  private final List<String> codes =
      TidebankException.conditions().stream().map(ErrorCondition::code).toList();

  /** Guards against two conditions with the same code, which operators could not tell apart. */
  @Test
  void codesAreUniqueAndWellFormed() {
    assertThat(codes).doesNotHaveDuplicates().allMatch(code -> code.matches("TB-\\d{4}"));
  }

  /** Guards against a condition added or removed without its entry on the page. */
  @Test
  void pageListsAllCodesInOrder() throws Exception {
    assertThat(HEADING.matcher(page()).results().map(found -> found.group(1)).toList())
        .containsExactlyElementsOf(codes.stream().sorted().toList());
  }

  /** Guards against advice that was changed in the code only. */
  @Test
  void pageHasNameAndAdviceOfEachCondition() throws Exception {
    String page = page();
    for (Class<?> type : TidebankException.conditionTypes()) {
      ErrorCondition condition = type.getAnnotation(ErrorCondition.class);
      assertThat(condition.advice()).as(type.getSimpleName()).hasSizeGreaterThan(30);
      assertThat(page)
          .contains("## " + condition.code() + " " + type.getSimpleName() + "\n")
          .contains(condition.advice());
    }
  }

  /** Guards against an exception type without the annotation, which has no code and no advice. */
  @Test
  void concreteTypesExceptRequestRejectedAreConditions() {
    assertThat(concreteTypes(TidebankException.class))
        .filteredOn(type -> type != TidebankException.RequestRejected.class)
        .containsExactlyElementsOf(TidebankException.conditionTypes());
  }

  @Test
  void conditionsAreFoundByCode() {
    assertThat(TidebankException.findCondition("TB-1002")).isPresent();
    assertThat(TidebankException.findCondition("TB-9999")).isEmpty();
  }

  private static String page() throws IOException {
    return Files.readString(Path.of("../docs/errors.md"));
  }

  private static List<Class<?>> concreteTypes(Class<?> type) {
    return type.isSealed()
        ? Stream.of(type.getPermittedSubclasses())
            .flatMap(permitted -> concreteTypes(permitted).stream())
            .toList()
        : List.of(type);
  }
}
