package tidebank.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import tidebank.base.TidebankException;
import tidebank.lease.Command;

/** Commands, answers and state as JSON, on the wire and in the log. */
public final class LeaseCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true);

  private LeaseCodec() {}

  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException fault) {
      throw new IllegalStateException("a value of ours has no JSON: " + fault.getMessage(), fault);
    }
  }

  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    return MAPPER.readValue(bytes, type);
  }

  /**
   * A command from outside: any text is possible, and no field may be missing that its kind needs.
   */
  public static Command command(byte[] body) throws TidebankException.CallMalformed {
    Command command;
    try {
      command = read(body, Command.class);
    } catch (JsonProcessingException fault) {
      throw new TidebankException.CallMalformed(fault.getOriginalMessage().split("\n")[0]);
    } catch (IOException fault) {
      throw new TidebankException.CallMalformed(fault.getMessage());
    }
    if (command == null || command.kind() == null || command.kind() == Command.Kind.PLAN) {
      throw new TidebankException.CallMalformed("field 'kind' names no command");
    }
    Command whole =
        new Command(
            command.kind(),
            text(command.session()),
            command.number(),
            text(command.name()),
            text(command.duty()),
            command.token(),
            command.revision(),
            text(command.value()),
            null);
    if (whole.session().isEmpty() || whole.session().length() > 128 || whole.number() < 1) {
      throw new TidebankException.CallMalformed(
          "field 'session' is to be a text of 1 to 128 characters, 'number' to be from 1 up");
    }
    if (whole.name().isEmpty() && command.kind() != Command.Kind.MOVE) {
      throw new TidebankException.CallMalformed("field 'name' is missing");
    }
    return whole;
  }

  private static String text(String value) {
    return value == null ? "" : value;
  }
}
