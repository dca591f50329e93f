package tidebank.coordinator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.io.IOException;
import java.io.Serial;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import tidebank.errors.CoordinatorException;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseTableState;

/**
 * A blocking client for operators and tests; members have their own client. Tries the coordinators
 * in turn, follows the redirects of followers to the leader, and retries. A retried command takes
 * effect once, since it keeps its sequence number. Not thread-safe.
 */
public final class CoordinatorClient {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final long RETRY_PAUSE_MS = 50;
  private static final long NS_PER_MS = 1_000_000;

  /**
   * An audit log entry: a grant, release or move of a task.
   *
   * @param timestampMs time by the leader's clock, in milliseconds since 1970
   * @param fencingToken the task's fencing token after the event
   * @param member the member concerned, or empty
   * @param event description of the event, such as "granted"
   */
  @JsonPropertyOrder({"wallMs", "token", "who", "what"})
  public record AuditEntry(
      @JsonProperty("wallMs") long timestampMs,
      @JsonProperty("token") long fencingToken,
      @JsonProperty("who") String member,
      @JsonProperty("what") String event) {}

  /** The type that Jackson reads the audit log's JSON into. */
  private static final class AuditLog extends TreeMap<String, List<AuditEntry>> {
    @Serial private static final long serialVersionUID = 1L;
  }

  private final List<String> addresses;
  private final long retryForMs;
  private final Duration requestTimeout;
  private final HttpClient http;
  private final String session = "operator " + UUID.randomUUID();
  private long lastSequence;

  /**
   * Creates a client.
   *
   * @param addresses the addresses of all coordinators, as host:port
   * @param retryForMs how long to retry before a call fails, in milliseconds
   */
  public CoordinatorClient(List<String> addresses, long retryForMs) {
    this(addresses, retryForMs, REQUEST_TIMEOUT);
  }

  /**
   * Creates a client.
   *
   * @param addresses the addresses of all coordinators, as host:port
   * @param retryForMs how long to retry before a call fails, in milliseconds
   * @param requestTimeout how long to wait for one coordinator before trying the next
   */
  public CoordinatorClient(List<String> addresses, long retryForMs, Duration requestTimeout) {
    this.addresses = List.copyOf(addresses);
    this.retryForMs = retryForMs;
    this.requestTimeout = requestTimeout;
    http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(requestTimeout)
            .build();
  }

  /** Returns the state of the lease table. */
  public LeaseTableState state() throws IOException {
    return LeaseCodec.read(call("/fleet/state", null), LeaseTableState.class);
  }

  /** Returns the audit log of each task, the oldest entry first. */
  public Map<String, List<AuditEntry>> auditLog() throws IOException {
    return LeaseCodec.read(call("/fleet/history", null), AuditLog.class);
  }

  /** Sends an operator's command in this client's session and returns its result. */
  public CommandResult sendOperatorCommand(LeaseCommand.Kind kind, String member, String task)
      throws IOException {
    return sendCommand(
        new LeaseCommand(kind, session, ++lastSequence, member, task, 0, 0, "", null));
  }

  /**
   * Sends a command unchanged and returns its result, which has an error if the lease table
   * rejected the command.
   *
   * @throws IOException if no coordinator returned a result in time, or if the request was
   *     malformed
   */
  public CommandResult sendCommand(LeaseCommand command) throws IOException {
    return LeaseCodec.read(call("/fleet/command", LeaseCodec.write(command)), CommandResult.class);
  }

  private byte[] call(String path, byte[] body) throws IOException {
    long deadline = System.nanoTime() + retryForMs * NS_PER_MS;
    Map<String, String> failures = new LinkedHashMap<>();
    while (true) {
      byte[] response = tryEach(path, body, failures);
      if (response != null) {
        return response;
      }
      if (System.nanoTime() >= deadline) {
        throw new CoordinatorException.CoordinatorUnavailable(failures.toString());
      }
      pause();
    }
  }

  /** Tries each coordinator and each redirect target; returns null if none succeeded. */
  private byte[] tryEach(String path, byte[] body, Map<String, String> failures)
      throws TidebankException.RequestRejected {
    Deque<String> untried = new ArrayDeque<>(addresses);
    for (int hops = 0; !untried.isEmpty() && hops < 2 * addresses.size(); hops++) {
      String address = untried.removeFirst();
      try {
        HttpResponse<byte[]> response = send("http://" + address + path, body);
        if (response.statusCode() == 200) {
          return response.body();
        }
        failures.put(address, failureReason(response));
        response
            .headers()
            .firstValue("location")
            .map(uri -> URI.create(uri).getAuthority())
            .ifPresent(untried::addFirst);
      } catch (TidebankException.RequestRejected exception) {
        throw exception;
      } catch (IOException exception) {
        failures.put(address, exception.toString());
      }
    }
    return null;
  }

  /**
   * Returns why a request failed.
   *
   * @throws TidebankException.RequestRejected if a retry would fail again
   */
  private static String failureReason(HttpResponse<byte[]> response) throws IOException {
    TidebankException.Details error = LeaseCodec.read(response.body(), CommandResult.class).error();
    if (error == null) {
      return "status " + response.statusCode();
    }
    if (error.retry() == TidebankException.Retry.NO) {
      throw new TidebankException.RequestRejected(error);
    }
    return error.message();
  }

  private HttpResponse<byte[]> send(String uri, byte[] body) throws IOException {
    BodyPublisher publisher =
        body == null ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(body);
    try {
      return http.send(
          HttpRequest.newBuilder(URI.create(uri))
              .timeout(requestTimeout)
              .method(body == null ? "GET" : "POST", publisher)
              .build(),
          BodyHandlers.ofByteArray());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(RETRY_PAUSE_MS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }
}
