package tidebank.coordinator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.io.IOException;
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
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseTable;

/**
 * Calls for operators: asks one steward after the other, goes where a follower points, and repeats
 * a command, which takes effect once. A blocking one, for command lines and tests; gatherers have
 * their own.
 */
public final class CoordinatorClient {
  /**
   * One thing that became of a duty: when, in milliseconds since 1970 by the leading steward's
   * clock; by which token; who; what.
   */
  @JsonPropertyOrder({"wallMs", "token", "who", "what"})
  public record AuditEntry(
      @JsonProperty("wallMs") long timestampMs,
      @JsonProperty("token") long fencingToken,
      @JsonProperty("who") String member,
      @JsonProperty("what") String event) {}

  /** As it comes over the wire. */
  private static final class History extends TreeMap<String, List<AuditEntry>> {
    @java.io.Serial private static final long serialVersionUID = 1L;
  }

  private static final Duration ONE = Duration.ofSeconds(5);

  private final List<String> addresses;
  private final long patienceMs;
  private final Duration one;
  private final HttpClient http;
  private final String session = "operator " + UUID.randomUUID();
  private long number;

  /**
   * @param addresses of all stewards, as host:port
   * @param patienceMs how long to go on asking before it is given up
   */
  public CoordinatorClient(List<String> addresses, long patienceMs) {
    this(addresses, patienceMs, ONE);
  }

  /**
   * @param one how long one steward may take to answer before the next is asked
   */
  public CoordinatorClient(List<String> addresses, long patienceMs, Duration one) {
    this.addresses = List.copyOf(addresses);
    this.patienceMs = patienceMs;
    this.one = one;
    http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(one).build();
  }

  public LeaseTable.State state() throws IOException {
    return LeaseCodec.read(call("/fleet/state", null), LeaseTable.State.class);
  }

  /** What became of each duty, the oldest first. */
  public Map<String, List<AuditEntry>> history() throws IOException {
    return LeaseCodec.read(call("/fleet/history", null), History.class);
  }

  /** An operator's command, in this client's own session. */
  public CommandResult operate(LeaseCommand.Kind kind, String name, String duty)
      throws IOException {
    return command(new LeaseCommand(kind, session, ++number, name, duty, 0, 0, "", null));
  }

  /**
   * Any command as it stands. Its answer says if it was refused; thrown is only what kept it from
   * being decided.
   */
  public CommandResult command(LeaseCommand command) throws IOException {
    return LeaseCodec.read(call("/fleet/command", LeaseCodec.write(command)), CommandResult.class);
  }

  private byte[] call(String path, byte[] body) throws IOException {
    long until = System.nanoTime() + patienceMs * 1_000_000;
    Map<String, String> tried = new LinkedHashMap<>();
    while (true) {
      Deque<String> next = new ArrayDeque<>(addresses);
      for (int hops = 0; !next.isEmpty() && hops < 2 * addresses.size(); hops++) {
        String address = next.removeFirst();
        try {
          HttpResponse<byte[]> response = send("http://" + address + path, body);
          if (response.statusCode() == 200) {
            return response.body();
          }
          CommandResult answer = LeaseCodec.read(response.body(), CommandResult.class);
          if (answer.error() != null && answer.error().retry() == TidebankException.Retry.NO) {
            throw new TidebankException.RequestRejected(answer.error());
          }
          tried.put(
              address,
              answer.error() == null
                  ? "status " + response.statusCode()
                  : answer.error().message());
          response
              .headers()
              .firstValue("location")
              .map(uri -> URI.create(uri).getAuthority())
              .ifPresent(next::addFirst);
        } catch (TidebankException.RequestRejected fault) {
          throw fault;
        } catch (IOException fault) {
          tried.put(address, fault.toString());
        }
      }
      if (System.nanoTime() >= until) {
        throw new TidebankException.CoordinatorUnavailable(tried.toString());
      }
      pause();
    }
  }

  private HttpResponse<byte[]> send(String uri, byte[] body) throws IOException {
    BodyPublisher publisher =
        body == null ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(body);
    try {
      return http.send(
          HttpRequest.newBuilder(URI.create(uri))
              .timeout(one)
              .method(body == null ? "GET" : "POST", publisher)
              .build(),
          BodyHandlers.ofByteArray());
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(50);
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }
}
