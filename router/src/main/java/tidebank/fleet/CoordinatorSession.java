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
import tidebank.lease.LeaseTable;

/**
 * A member's calls to the stewards, one at a time, on the agent's thread. Remembers who answered
 * last.
 */
final class CoordinatorSession {
  private static final int TIMEOUT_MS = 1000;

  private final List<String> stewards;
  private String next;
  private int turn;

  CoordinatorSession(List<String> stewards) {
    this.stewards = List.copyOf(stewards);
    next = stewards.get(0);
  }

  /**
   * What the stewards made of it, or nothing: it may or may not have taken effect, and may be sent
   * again.
   */
  Optional<CommandResult> command(LeaseCommand command) throws IOException {
    byte[] body = call("/fleet/command", LeaseCodec.write(command), TIMEOUT_MS);
    return body == null
        ? Optional.empty()
        : Optional.of(LeaseCodec.read(body, CommandResult.class));
  }

  Optional<LeaseTable.State> state() throws IOException {
    byte[] body = call("/fleet/state", null, TIMEOUT_MS);
    return body == null
        ? Optional.empty()
        : Optional.of(LeaseCodec.read(body, LeaseTable.State.class));
  }

  /**
   * Waits until there is a duty that this member should claim and nobody has; whether there is one.
   */
  boolean news(String name, int waitMs) throws IOException {
    String query =
        "?name=" + URLEncoder.encode(name, StandardCharsets.UTF_8) + "&wait_ms=" + waitMs;
    byte[] body = call("/fleet/wanted" + query, null, waitMs + TIMEOUT_MS);
    return body != null && LeaseCodec.read(body, String[].class).length > 0;
  }

  /** The body of a good answer; null where none was got, and the next call goes to another. */
  private byte[] call(String path, byte[] body, int timeoutMs)
      throws TidebankException.RequestRejected {
    String asked = next;
    try {
      HttpURLConnection call =
          (HttpURLConnection) URI.create("http://" + asked + path).toURL().openConnection();
      call.setConnectTimeout(TIMEOUT_MS);
      call.setReadTimeout(timeoutMs);
      call.setInstanceFollowRedirects(false);
      if (body != null) {
        call.setDoOutput(true);
        call.setFixedLengthStreamingMode(body.length);
        try (OutputStream out = call.getOutputStream()) {
          out.write(body);
        }
      }
      int status = call.getResponseCode();
      try (InputStream in = status == 200 ? call.getInputStream() : call.getErrorStream()) {
        byte[] answer = in == null ? new byte[0] : in.readAllBytes();
        if (status == 200) {
          return answer;
        }
        TidebankException.Details told =
            answer.length == 0 ? null : LeaseCodec.read(answer, CommandResult.class).error();
        if (told != null && told.retry() == TidebankException.Retry.NO) {
          throw new TidebankException.RequestRejected(told);
        }
        String leader = call.getHeaderField("Location");
        next = leader == null ? another() : URI.create(leader).getAuthority();
      }
    } catch (TidebankException.RequestRejected fault) {
      throw fault;
    } catch (IOException fault) {
      next = another();
    }
    return null;
  }

  private String another() {
    turn = (turn + 1) % stewards.size();
    return stewards.get(turn);
  }
}
