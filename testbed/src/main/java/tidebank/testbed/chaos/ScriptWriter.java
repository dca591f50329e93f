package tidebank.testbed.chaos;

import java.util.Locale;
import tidebank.testbed.chaos.Script.Condition;
import tidebank.testbed.chaos.Script.Operation;
import tidebank.testbed.chaos.Script.Step;

/** Writes scripts as TOML. Omits most keys that have their default value. */
final class ScriptWriter {
  private final StringBuilder toml = new StringBuilder();

  private ScriptWriter() {}

  static String toToml(Script script) {
    ScriptWriter writer = new ScriptWriter();
    writer.writeHeader(script);
    script.steps().forEach(writer::writeStep);
    return writer.toml.toString();
  }

  private void writeHeader(Script script) {
    writeText("about", script.description());
    writeValue("stewards", script.coordinators());
    writeValue("members", script.members());
    writeValue("lease_ms", script.leaseMs());
    writeValue("drift", script.maxClockDrift());
    if (!script.clockRates().isEmpty()) {
      toml.append("\n[clocks]\n");
      script.clockRates().forEach(this::writeValue);
    }
  }

  private void writeStep(Step step) {
    toml.append("\n[[steps]]\n");
    if (step.condition() != Condition.NOTHING) {
      writeText("await", toKeyword(step.condition()));
    }
    writeTextUnlessEmpty("of", step.observed());
    if (step.count() != 1) {
      writeValue("count", step.count());
    }
    if (step.queries() != 1) {
      writeValue("scans", step.queries());
    }
    if (step.operation() != Operation.NOTHING) {
      writeText("do", toKeyword(step.operation()));
    }
    writeTextUnlessEmpty("who", step.target());
    writeTextUnlessEmpty("as", step.alias());
    writeTextUnlessEmpty("to", step.linkTarget());
    if (step.fault() != null) {
      writeText("fault", toKeyword(step.fault()));
      writeValue("ms", step.ms());
      writeValue("jitter_ms", step.jitterMs());
      writeValue("bytes_s", step.bytesPerS());
    }
    if (step.clockRate() != 1) {
      writeValue("clock", step.clockRate());
    }
  }

  private static String toKeyword(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private void writeTextUnlessEmpty(String key, String value) {
    if (!value.isEmpty()) {
      writeText(key, value);
    }
  }

  private void writeText(String key, String value) {
    toml.append(key).append(" = \"").append(value).append("\"\n");
  }

  private void writeValue(String key, Object value) {
    toml.append(key).append(" = ").append(value).append('\n');
  }
}
