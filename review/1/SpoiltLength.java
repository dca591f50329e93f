import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Every fifth answer of the shard servers has a length that does not fit. No client may be served
 * anything but the values that were made for its request.
 */
public final class SpoiltLength {
  private static final int SERVERS = 12;
  private static final int QUERIES = 40;

  /** What is added to the length of a spoilt answer's frame. */
  private static final int[] MISFITS = {-6, 9, -1, -12};

  private static final Pattern ANSWER = Pattern.compile("\\{[^{}]*\\}");
  private static final Pattern RANGE = Pattern.compile("\"range\"\\s*:\\s*(\\d+)");
  private static final Pattern BLOB = Pattern.compile("\"blob\"\\s*:\\s*\"([^\"]*)\"");

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
      try (Client client = new Client(router.port(), lab.record)) {
        client.send(type + " " + id, Client.query(type, id, 4000, predicate, shards));
        Client.Answer answer = client.read(id, 5000);
        if (answer == null || answer.status() == 0) {
          unanswered++;
        } else if (answer.status() == 200) {
          served++;
          String notMade = valueNotMade(answer.body(), id, predicate);
          if (notMade != null) {
            wrong++;
            example = id + " was served " + notMade;
            lab.record.add("case", "WRONG: " + example);
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

  /** Returns a value of an answer that no server made for the request, or null. */
  private static String valueNotMade(String body, String id, String predicate) {
    Matcher answers = ANSWER.matcher(body.substring(body.indexOf('[')));
    while (answers.find()) {
      Matcher range = RANGE.matcher(answers.group());
      Matcher blob = BLOB.matcher(answers.group());
      if (!range.find() || !blob.find()) {
        return answers.group();
      }
      String made = ShardServer.valueOf(id + "." + range.group(1), predicate.getBytes());
      if (!blob.group(1).equals(made)) {
        return answers.group() + " where " + made + " was made";
      }
    }
    return null;
  }
}
