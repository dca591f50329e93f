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
 * A blocking client for operators and tests; members have a client of their own. Tries one
 * coordinator after the other, goes where a follower points, and repeats a command, which takes
 * effect once. Used by one thread at a time.
 */
public final class CoordinatorClient {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final long RETRY_PAUSE_MS = 50;
  private static final long NS_PER_MS = 1_000_000;

  /**
   * A grant, release or move of a task.
   *
   * @param timestampMs when, in milliseconds since 1970 by the leader's clock
   * @param fencingToken the task's fencing token then
   * @param member the member it was about, or empty
   * @param event what happened, for people
   */
  @JsonPropertyOrder({"wallMs", "token", "who", "what"})
  public record AuditEntry(
      @JsonProperty("wallMs") long timestampMs,
      @JsonProperty("token") long fencingToken,
      @JsonProperty("who") String member,
      @JsonProperty("what") String event) {}

  /** The audit log as it is sent. */
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
   * @param addresses of all coordinators, as host:port
   * @param retryForMs how long to retry before a call fails, in milliseconds
   */
  public CoordinatorClient(List<String> addresses, long retryForMs) {
    this(addresses, retryForMs, REQUEST_TIMEOUT);
  }

  /**
   * Creates a client.
   *
   * @param addresses of all coordinators, as host:port
   * @param retryForMs how long to retry before a call fails, in milliseconds
   * @param requestTimeout how long one coordinator may take to answer before the next is tried
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

  /** Sends an operator's command, in this client's own session. */
  public CommandResult operate(LeaseCommand.Kind kind, String member, String task)
      throws IOException {
    return command(new LeaseCommand(kind, session, ++lastSequence, member, task, 0, 0, "", null));
  }

  /**
   * Sends any command as it is. The result says whether it was refused.
   *
   * @throws IOException if it could not be decided
   */
  public CommandResult command(LeaseCommand command) throws IOException {
    return LeaseCodec.read(call("/fleet/command", LeaseCodec.write(command)), CommandResult.class);
  }

  private byte[] call(String path, byte[] body) throws IOException {
    long deadline = System.nanoTime() + retryForMs * NS_PER_MS;
    Map<String, String> failures = new LinkedHashMap<>();
    while (true) {
      byte[] answer = tryEach(path, body, failures);
      if (answer != null) {
        return answer;
      }
      if (System.nanoTime() >= deadline) {
        throw new CoordinatorException.CoordinatorUnavailable(failures.toString());
      }
      pause();
    }
  }

  /** Tries each coordinator once and those that followers point to; null if none answered. */
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
        failures.put(address, failure(response));
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

  /** Returns why a request failed; throws if no retry can help. */
  private static String failure(HttpResponse<byte[]> response) throws IOException {
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
