package tidebank.coordinator;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import tidebank.errors.CoordinatorException;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;

/** Dispatches requests by method and path to the {@link CoordinatorServer}. */
final class HttpRequestHandler {
  /** The longest long poll; well below the idle timeout of {@link HttpServer}, which is 60 s. */
  private static final int MAX_WAIT_MS = 30_000;

  private final CoordinatorServer coordinator;

  HttpRequestHandler(CoordinatorServer coordinator) {
    this.coordinator = coordinator;
  }

  /**
   * Handles a request; completes with the body of the response or fails with a {@link
   * TidebankException}.
   */
  CompletableFuture<byte[]> handle(FullHttpRequest request) {
    try {
      if (!request.decoderResult().isSuccess()) {
        throw new CoordinatorException.MalformedRequest("it is not a valid HTTP/1.1 request");
      }
      return dispatch(request);
    } catch (TidebankException exception) {
      return CompletableFuture.failedFuture(exception);
    }
  }

  private CompletableFuture<byte[]> dispatch(FullHttpRequest request) throws TidebankException {
    String uri = request.uri();
    if (request.method().equals(HttpMethod.POST) && uri.equals("/fleet/command")) {
      byte[] body = ByteBufUtil.getBytes(request.content());
      return coordinator.execute(LeaseCodec.readCommand(body));
    }
    if (request.method().equals(HttpMethod.GET)) {
      if (uri.equals("/fleet/state")) {
        return coordinator.readState();
      }
      if (uri.equals("/fleet/history")) {
        return coordinator.readAuditLog();
      }
      if (uri.startsWith("/fleet/wanted?")) {
        return unclaimedTasks(new QueryStringDecoder(uri));
      }
      if (uri.equals("/health/ready")) {
        return readiness();
      }
    }
    throw new CoordinatorException.PathUnknown(request.method().name(), uri);
  }

  private CompletableFuture<byte[]> unclaimedTasks(QueryStringDecoder query)
      throws TidebankException {
    String member = query.parameters().getOrDefault("name", List.of("")).get(0);
    String wait = query.parameters().getOrDefault("wait_ms", List.of("0")).get(0);
    if (member.isEmpty() || !wait.matches("\\d{1,5}") || Integer.parseInt(wait) > MAX_WAIT_MS) {
      throw new CoordinatorException.MalformedRequest(
          "found name='"
              + member
              + "' and wait_ms='"
              + wait
              + "', wanted a member's name and 0 to "
              + MAX_WAIT_MS);
    }
    return coordinator.awaitUnclaimedTasks(member, Integer.parseInt(wait));
  }

  private CompletableFuture<byte[]> readiness() throws TidebankException {
    if (coordinator.failure().isDone()) {
      throw coordinator.failure().join();
    }
    CoordinatorConfig.Peer leader =
        coordinator
            .leader()
            .orElseThrow(() -> new CoordinatorException.NoMajority("no leader is known"));
    return CompletableFuture.completedFuture(LeaseCodec.write(Map.of("leader", leader.describe())));
  }
}
