import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Every fifth answer of the shard servers has a length that does not fit. No client may be served
 * anything but the values that were made for its request.
 */
public final class SpoiltLength {
  private static final int SERVERS = 12;
  private static final int QUERIES = 40;

  /** What is added to the length of a spoilt answer's frame. */
  private static final int[] MISFITS = {-6, 9, -1, -12};

  private SpoiltLength() {}

  public static void main(String[] arguments) {
    Lab.play(arguments[0], SpoiltLength::play);
  }

  private static String play(Lab lab) throws Exception {
    Discovery discovery = new Discovery(lab.record, 40);
    AtomicInteger answers = new AtomicInteger();
    for (int i = 0; i < SERVERS; i++) {
      ShardServer server = new ShardServer("s" + i, lab.record);
      server.setBehaviour(
          part -> {
            Lab.sleep(140);
            int number = answers.incrementAndGet();
            if (Lab.TROUBLE && number % 5 == 0) {
              answerWithMisfit(lab, server, part, MISFITS[number / 5 % MISFITS.length]);
            } else {
              part.link().answer(part, "good");
            }
          });
      discovery.set(server.name, server.dial(), i, "Ready", 0);
    }
    Lab.Router router = lab.start("n0", discovery.address(), discovery.whole(), Sites.rennes(SERVERS));

    int wrong = 0;
    int unanswered = 0;
    int served = 0;
    String example = "";
    for (int i = 0; i < QUERIES; i++) {
      // Three in four are delivery confirmations of one part, one is a manifest of four parts.
      boolean confirms = i % 4 < 3;
      String type = confirms ? "delivery-confirm" : "depot-manifest";
      int[] shards = confirms ? new int[] {i % 24} : new int[] {i % 24, (i + 5) % 24, (i + 11) % 24, (i + 17) % 24};
      String id = String.format(Locale.ROOT, "9b1f03aa5c7e%04x", i);
      String predicate = String.format(Locale.ROOT, "c41e%04x", i);
      try (Client client = new Client(router.port, lab.record)) {
        client.send(type + " " + id, Client.query(type, id, 4000, predicate, shards));
        Client.Answer answer = client.read(id, 5000);
        if (answer == null || answer.status() == 0) {
          unanswered++;
        } else if (answer.status() == 200) {
          served++;
          if (!answer.body().equals(expected(id, predicate, shards))) {
            wrong++;
            example = id + " was served " + answer.body();
            lab.record.add("case", "WRONG, not what was made: " + expected(id, predicate, shards));
          }
        }
      }
    }
    lab.record.add("case", "queries=" + QUERIES + " served=" + served + " wrong=" + wrong + " unanswered=" + unanswered);
    return wrong == 0 ? null : wrong + " of " + QUERIES + " clients were served a value that no server made; " + example;
  }

  private static void answerWithMisfit(Lab lab, ShardServer server, ShardServer.Part part, int misfit)
      throws java.io.IOException {
    String value = ShardServer.valueOf(part.id(), part.text());
    byte[] frame = ShardServer.frame(ShardServer.answerBody(part, "good", value));
    java.nio.ByteBuffer bytes = java.nio.ByteBuffer.wrap(frame);
    bytes.putInt(0, bytes.getInt(0) + misfit);
    lab.record.add(server.name, "spoils its answer to " + part.id() + ": length off by " + misfit + ", value=" + value);
    part.link().sendBytes(frame);
  }

  /** The whole answer, with the values as the servers made them. */
  private static String expected(String id, String predicate, int[] shards) {
    StringBuilder list = new StringBuilder();
    for (int shard : shards) {
      list.append(list.isEmpty() ? "" : ",").append("{\"range\":" + shard + ",\"blob\":\""
          + ShardServer.valueOf(id + "." + shard, predicate.getBytes()) + "\"}");
    }
    return "{\"total\":true,\"answers\":[" + list + "]}";
  }
}
