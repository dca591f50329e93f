package tidebank.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseTableState;

/**
 * A member's HTTP client of the coordinators: one request at a time, on one thread. It goes back to
 * the coordinator that answered last, follows a follower's redirect to the leader, and tries the
 * next one where none answered.
 */
final class CoordinatorSession {
  private static final int TIMEOUT_MS = 1000;

  private final List<String> coordinators;
  private String target;
  private int lastTried;

  CoordinatorSession(List<String> coordinators) {
    this.coordinators = List.copyOf(coordinators);
    target = coordinators.get(0);
  }

  /**
   * Returns a command's result. If there is none, the command may or may not have taken effect, and
   * may be repeated.
   */
  Optional<CommandResult> command(LeaseCommand command) throws IOException {
    byte[] body = call("/fleet/command", LeaseCodec.write(command), TIMEOUT_MS);
    return body == null
        ? Optional.empty()
        : Optional.of(LeaseCodec.read(body, CommandResult.class));
  }

  /** Returns the state of the lease table, if a coordinator answers. */
  Optional<LeaseTableState> state() throws IOException {
    byte[] body = call("/fleet/state", null, TIMEOUT_MS);
    return body == null
        ? Optional.empty()
        : Optional.of(LeaseCodec.read(body, LeaseTableState.class));
  }

  /**
   * Waits until there is a task that is assigned to the member and that nobody holds.
   *
   * @return whether there is one
   */
  boolean awaitUnclaimedTask(String member, int waitMs) throws IOException {
    String query =
        "?name=" + URLEncoder.encode(member, StandardCharsets.UTF_8) + "&wait_ms=" + waitMs;
    byte[] body = call("/fleet/wanted" + query, null, waitMs + TIMEOUT_MS);
    return body != null && LeaseCodec.read(body, String[].class).length > 0;
  }

  /** Returns the body of a good answer, or null if there was none; the next call goes elsewhere. */
  private byte[] call(String path, byte[] body, int timeoutMs)
      throws TidebankException.RequestRejected {
    try {
      HttpURLConnection connection = send(path, body, timeoutMs);
      int status = connection.getResponseCode();
      try (InputStream in =
          status == HttpURLConnection.HTTP_OK
              ? connection.getInputStream()
              : connection.getErrorStream()) {
        byte[] answer = in == null ? new byte[0] : in.readAllBytes();
        if (status == HttpURLConnection.HTTP_OK) {
          return answer;
        }
        throwIfRejected(answer);
        String leader = connection.getHeaderField("Location");
        target = leader == null ? nextCoordinator() : URI.create(leader).getAuthority();
      }
    } catch (TidebankException.RequestRejected exception) {
      throw exception;
    } catch (IOException exception) {
      target = nextCoordinator();
    }
    return null;
  }

  private HttpURLConnection send(String path, byte[] body, int timeoutMs) throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create("http://" + target + path).toURL().openConnection();
    connection.setConnectTimeout(TIMEOUT_MS);
    connection.setReadTimeout(timeoutMs);
    connection.setInstanceFollowRedirects(false);
    if (body != null) {
      connection.setDoOutput(true);
      connection.setFixedLengthStreamingMode(body.length);
      try (OutputStream out = connection.getOutputStream()) {
        out.write(body);
      }
    }
    return connection;
  }

  /** Throws if the answer is an error that no retry can help. */
  private static void throwIfRejected(byte[] answer) throws IOException {
    if (answer.length == 0) {
      return;
    }
    TidebankException.Details error = LeaseCodec.read(answer, CommandResult.class).error();
    if (error != null && error.retry() == TidebankException.Retry.NO) {
      throw new TidebankException.RequestRejected(error);
    }
  }

  private String nextCoordinator() {
    lastTried = (lastTried + 1) % coordinators.size();
    return coordinators.get(lastTried);
  }
}
