package tidebank.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import tidebank.errors.CoordinatorException;
import tidebank.lease.LeaseCommand;

/**
 * Reads and writes commands, results, states and stored files as JSON, on the wire and in the
 * replicated log.
 */
public final class LeaseCodec {
  private static final ObjectMapper MAPPER =
      LeaseJson.configure(
          new ObjectMapper().configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true));

  private LeaseCodec() {}

  /** Returns a value as JSON. */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException(
          "could not write " + value.getClass().getName() + " as JSON: " + exception.getMessage(),
          exception);
    }
  }

  /**
   * Reads a value.
   *
   * @throws IOException if the bytes are not valid JSON of the type
   */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    return MAPPER.readValue(bytes, type);
  }

  /**
   * Reads a command sent by a client. Throws if its kind, session, sequence number or member's name
   * is missing or invalid; MOVE needs no member's name, and PLAN is invalid because only leaders
   * create it. Absent text fields become empty.
   */
  public static LeaseCommand readCommand(byte[] body) throws CoordinatorException.MalformedRequest {
    LeaseCommand command;
    try {
      command = read(body, LeaseCommand.class);
    } catch (JsonProcessingException exception) {
      throw new CoordinatorException.MalformedRequest(
          exception.getOriginalMessage().split("\n", 0)[0]);
    } catch (IOException exception) {
      throw new CoordinatorException.MalformedRequest(exception.getMessage());
    }
    if (command == null || command.kind() == null || command.kind() == LeaseCommand.Kind.PLAN) {
      throw new CoordinatorException.MalformedRequest("field 'kind' names no command");
    }
    LeaseCommand normalized =
        new LeaseCommand(
            command.kind(),
            emptyIfNull(command.session()),
            command.sequence(),
            emptyIfNull(command.member()),
            emptyIfNull(command.task()),
            command.fencingToken(),
            command.revision(),
            emptyIfNull(command.value()),
            null);
    if (normalized.session().isEmpty()
        || normalized.session().length() > 128
        || normalized.sequence() < 1) {
      throw new CoordinatorException.MalformedRequest(
          "field 'session' must have 1 to 128 characters, and field 'number' must be at least 1");
    }
    if (normalized.member().isEmpty() && command.kind() != LeaseCommand.Kind.MOVE) {
      throw new CoordinatorException.MalformedRequest("field 'name' is missing");
    }
    return normalized;
  }

  private static String emptyIfNull(String value) {
    return value == null ? "" : value;
  }
}
