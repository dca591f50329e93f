package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;
import tidebank.errors.TestbedException;

/** Tests of scripts in files and of scripts generated from seeds. */
class ScriptTest {
  /** Guards against values that are lost when a script is written into the folder of its run. */
  @Test
  void builtInScriptsAreReadAndWrittenBackUnchanged() throws Exception {
    assertThat(Script.builtInNames()).hasSizeGreaterThanOrEqualTo(12).doesNotHaveDuplicates();
    for (String name : Script.builtInNames()) {
      Script script = Script.read(name);
      assertThat(script.description()).as(name).hasSizeGreaterThan(20);
      assertThat(script.steps()).as(name).isNotEmpty();
      assertThat(Script.read(Toml.read(name, script.toToml()), name)).isEqualTo(script);
    }
  }

  /**
   * Guards against runs that their seed can't repeat, and against operations or faults that no
   * random script contains.
   */
  @Test
  void sameSeedGivesSameScriptAndSeedsCoverAllFaults() throws Exception {
    Set<Object> generated = new HashSet<>();
    for (long seed = 1; seed <= 200; seed++) {
      Script script = RandomScript.generate(seed);
      assertThat(RandomScript.generate(seed)).isEqualTo(script);
      assertThat(Script.read(Toml.read("drawn", script.toToml()), script.name())).isEqualTo(script);
      script
          .steps()
          .forEach(
              step ->
                  generated.add(
                      step.operation() == Script.Operation.LINK ? step.fault() : step.operation()));
    }
    assertThat(generated)
        .contains(
            Script.Operation.STOP,
            Script.Operation.WAKE,
            Script.Operation.KILL,
            Script.Operation.TERM,
            Script.Operation.START,
            Script.Operation.SCANS,
            FaultyLink.Fault.SILENT_UP,
            FaultyLink.Fault.SILENT_DOWN,
            FaultyLink.Fault.CUT,
            FaultyLink.Fault.RESET,
            FaultyLink.Fault.HALF_OPEN,
            FaultyLink.Fault.DELAY,
            FaultyLink.Fault.FLAP,
            FaultyLink.Fault.TRICKLE,
            FaultyLink.Fault.HEAL);
  }

  /** Guards against errors that do not say where a script is wrong or which scripts exist. */
  @Test
  void scriptErrorsNameTheirLinesAndUnknownScriptListsBuiltIns() {
    String text =
        "stewards = 2\n"
            + "[clocks]\n"
            + "g0 = 3.0\n"
            + "[[steps]]\n"
            + "do = \"stopp\"\n"
            + "[[steps]]\n"
            + "do = \"link\"\n"
            + "who = \"g0\"\n"
            + "[[steps]]\n"
            + "do = \"kill\"\n"
            + "who = \"ownr\"\n"
            + "asif = 1\n";
    assertThatThrownBy(() -> Script.read(Toml.read("x.toml", text), "x"))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContainingAll(
            "x.toml:1: stewards",
            "x.toml:3: clocks.g0",
            "x.toml:5: steps[0].do",
            "x.toml:7: steps[1].do: a link needs",
            "x.toml:11: steps[2].who: found 'ownr'",
            "did you mean \"owner\"?",
            "x.toml:12: steps[2].asif: unknown key");
    assertThatThrownBy(() -> Script.read("no-such"))
        .isInstanceOf(TestbedException.ScriptUnknown.class)
        .hasMessageContaining("owner-stopped");
  }
}
