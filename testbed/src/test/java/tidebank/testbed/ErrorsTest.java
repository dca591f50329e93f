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

/** The page of errors and the types of the conditions are consistent. */
class ErrorsTest {
  private static final Pattern HEADING =
      Pattern.compile("^## (TB-\\d{4}) (\\w+)$", Pattern.MULTILINE);

  private final List<String> codes =
      TidebankException.conditions().stream().map(ErrorCondition::code).toList();

  @Test
  void codesAreUniqueAndWellFormed() {
    assertThat(codes).doesNotHaveDuplicates().allMatch(code -> code.matches("TB-\\d{4}"));
  }

  @Test
  void thePageHasTheEntriesOfAllCodesInOrder() throws Exception {
    assertThat(HEADING.matcher(page()).results().map(found -> found.group(1)).toList())
        .containsExactlyElementsOf(codes.stream().sorted().toList());
  }

  @Test
  void eachConditionHasItsNameAndAdviceOnThePage() throws Exception {
    String page = page();
    for (Class<?> type : TidebankException.conditionTypes()) {
      ErrorCondition condition = type.getAnnotation(ErrorCondition.class);
      assertThat(condition.advice()).as(type.getSimpleName()).hasSizeGreaterThan(30);
      assertThat(page)
          .contains("## " + condition.code() + " " + type.getSimpleName() + "\n")
          .contains(condition.advice());
    }
  }

  @Test
  void eachConcreteTypeButRequestRejectedIsACondition() {
    assertThat(concreteTypes(TidebankException.class))
        .filteredOn(type -> type != TidebankException.RequestRejected.class)
        .containsExactlyElementsOf(TidebankException.conditionTypes());
  }

  @Test
  void conditionsAreFoundByTheirCode() {
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
