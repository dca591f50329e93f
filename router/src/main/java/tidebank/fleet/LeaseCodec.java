package tidebank.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import tidebank.errors.CoordinatorException;
import tidebank.lease.LeaseCommand;

/** Commands, results, state and stored files as JSON, on the wire and in the log. */
public final class LeaseCodec {
  private static final ObjectMapper MAPPER =
      LeaseJson.configure(
          new ObjectMapper().configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true));

  private LeaseCodec() {}

  /** Returns a value as JSON. */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException fault) {
      throw new IllegalStateException("a value of ours has no JSON: " + fault.getMessage(), fault);
    }
  }

  /**
   * Reads a value.
   *
   * @throws IOException if it is no JSON of that type
   */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    return MAPPER.readValue(bytes, type);
  }

  /**
   * Reads a command from outside: any text is possible, and no field may be missing that its kind
   * needs.
   */
  public static LeaseCommand readCommand(byte[] body) throws CoordinatorException.MalformedRequest {
    LeaseCommand command;
    try {
      command = read(body, LeaseCommand.class);
    } catch (JsonProcessingException fault) {
      throw new CoordinatorException.MalformedRequest(fault.getOriginalMessage().split("\n", 0)[0]);
    } catch (IOException fault) {
      throw new CoordinatorException.MalformedRequest(fault.getMessage());
    }
    if (command == null || command.kind() == null || command.kind() == LeaseCommand.Kind.PLAN) {
      throw new CoordinatorException.MalformedRequest("field 'kind' names no command");
    }
    LeaseCommand whole =
        new LeaseCommand(
            command.kind(),
            text(command.session()),
            command.sequence(),
            text(command.member()),
            text(command.task()),
            command.fencingToken(),
            command.revision(),
            text(command.value()),
            null);
    if (whole.session().isEmpty() || whole.session().length() > 128 || whole.sequence() < 1) {
      throw new CoordinatorException.MalformedRequest(
          "field 'session' is to be a text of 1 to 128 characters, 'number' to be from 1 up");
    }
    if (whole.member().isEmpty() && command.kind() != LeaseCommand.Kind.MOVE) {
      throw new CoordinatorException.MalformedRequest("field 'name' is missing");
    }
    return whole;
  }

  private static String text(String value) {
    return value == null ? "" : value;
  }
}
