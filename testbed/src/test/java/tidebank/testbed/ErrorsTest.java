package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import tidebank.errors.TidebankException;

/** The page of errors and the types say the same. */
class ErrorsTest {
  private static final Pattern HEAD = Pattern.compile("^## (TB-\\d{4}) (\\w+)$", Pattern.MULTILINE);

  @Test
  void everyConditionHasACodeOfItsOwnAnAdviceAndItsEntryOnThePage() throws Exception {
    String page = Files.readString(Path.of("../docs/errors.md"));
    List<String> types =
        TidebankException.entries().stream().map(TidebankException.Entry::code).toList();
    assertThat(types).doesNotHaveDuplicates().allMatch(code -> code.matches("TB-\\d{4}"));
    assertThat(HEAD.matcher(page).results().map(found -> found.group(1)).toList())
        .containsExactlyElementsOf(types.stream().sorted().toList());
    for (Class<?> type : TidebankException.class.getPermittedSubclasses()) {
      TidebankException.Entry entry = type.getAnnotation(TidebankException.Entry.class);
      if (type != TidebankException.RequestRejected.class) {
        assertThat(entry.advice()).as(type.getSimpleName()).hasSizeGreaterThan(30);
        assertThat(page)
            .contains("## " + entry.code() + " " + type.getSimpleName() + "\n")
            .contains(entry.advice());
      }
    }
    assertThat(TidebankException.entry("TB-1002")).isPresent();
    assertThat(TidebankException.entry("TB-9999")).isEmpty();
  }
}
