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
 * A member's HTTP client for the coordinators. Sends one request at a time, from one thread. It
 * uses the coordinator that answered last, follows a follower's redirect to the leader, and tries
 * the next coordinator if none answered.
 */
final class CoordinatorHttpClient {
  private static final int TIMEOUT_MS = 1000;

  private final List<String> coordinators;
  private String currentCoordinator;
  private int lastTriedIndex;

  CoordinatorHttpClient(List<String> coordinators) {
    this.coordinators = List.copyOf(coordinators);
    currentCoordinator = coordinators.get(0);
  }

  /**
   * Sends a command and returns its result. An empty result means that the command may or may not
   * have taken effect; it can be repeated.
   */
  Optional<CommandResult> execute(LeaseCommand command) throws IOException {
    byte[] responseBody = call("/fleet/command", LeaseCodec.write(command), TIMEOUT_MS);
    return responseBody == null
        ? Optional.empty()
        : Optional.of(LeaseCodec.read(responseBody, CommandResult.class));
  }

  /** Returns the state of the lease table, or empty if no coordinator answered. */
  Optional<LeaseTableState> fetchState() throws IOException {
    byte[] responseBody = call("/fleet/state", null, TIMEOUT_MS);
    return responseBody == null
        ? Optional.empty()
        : Optional.of(LeaseCodec.read(responseBody, LeaseTableState.class));
  }

  /**
   * Waits for a task that is assigned to the member and that no member holds.
   *
   * @param waitMs the longest time to wait, in milliseconds
   * @return whether there is such a task; false also if no coordinator answered
   */
  boolean awaitUnclaimedTask(String member, int waitMs) throws IOException {
    String query =
        "?name=" + URLEncoder.encode(member, StandardCharsets.UTF_8) + "&wait_ms=" + waitMs;
    byte[] responseBody = call("/fleet/wanted" + query, null, waitMs + TIMEOUT_MS);
    return responseBody != null && LeaseCodec.read(responseBody, String[].class).length > 0;
  }

  /**
   * Returns the body of a successful response, or null if there was none. The next call then goes
   * to another coordinator.
   */
  private byte[] call(String path, byte[] requestBody, int timeoutMs)
      throws TidebankException.RequestRejected {
    try {
      HttpURLConnection connection = send(path, requestBody, timeoutMs);
      int status = connection.getResponseCode();
      try (InputStream in =
          status == HttpURLConnection.HTTP_OK
              ? connection.getInputStream()
              : connection.getErrorStream()) {
        byte[] responseBody = in == null ? new byte[0] : in.readAllBytes();
        if (status == HttpURLConnection.HTTP_OK) {
          return responseBody;
        }
        throwIfRejected(responseBody);
        String leader = connection.getHeaderField("Location");
        currentCoordinator = leader == null ? nextCoordinator() : URI.create(leader).getAuthority();
      }
    } catch (TidebankException.RequestRejected exception) {
      throw exception;
    } catch (IOException exception) {
      currentCoordinator = nextCoordinator();
    }
    return null;
  }

  private HttpURLConnection send(String path, byte[] requestBody, int timeoutMs)
      throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection)
            URI.create("http://" + currentCoordinator + path).toURL().openConnection();
    connection.setConnectTimeout(TIMEOUT_MS);
    connection.setReadTimeout(timeoutMs);
    connection.setInstanceFollowRedirects(false);
    if (requestBody != null) {
      connection.setDoOutput(true);
      connection.setFixedLengthStreamingMode(requestBody.length);
      try (OutputStream out = connection.getOutputStream()) {
        out.write(requestBody);
      }
    }
    return connection;
  }

  /** Throws if the response body holds an error that must not be retried. */
  private static void throwIfRejected(byte[] responseBody) throws IOException {
    if (responseBody.length == 0) {
      return;
    }
    TidebankException.Details error = LeaseCodec.read(responseBody, CommandResult.class).error();
    if (error != null && error.retry() == TidebankException.Retry.NO) {
      throw new TidebankException.RequestRejected(error);
    }
  }

  private String nextCoordinator() {
    lastTriedIndex = (lastTriedIndex + 1) % coordinators.size();
    return coordinators.get(lastTriedIndex);
  }
}
