package tidebank.policy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.Deflater;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import tidebank.simulation.SimulatorHost;

/**
 * Guards against unintended changes of the policy's decisions: stored streams of events have to
 * replay to the stored actions byte for byte, and long runs against a simulated fleet to actions
 * with the stored digest.
 *
 * <p>After an intended change of the decisions, write the fixtures again with {@code mvn -o -q -pl
 * router test -Dtest=PolicyReplayTest#writeTheFixtures -Dtests.excluded=}.
 */
class PolicyReplayTest {
  private static final String FIXTURE_FOLDER = "fixtures/policy/";
  private static final int STORED_MESSAGES = 4_500;
  private static final int LONG_MESSAGES = 40_000;
  private static final int LONG_SEEDS = 2;
  private static final Map<String, SimulatedFleet.Deployment> SITES = new LinkedHashMap<>();

  static {
    site("hedging", "hedging=1 cancel=1 holdoff=1 ranks=1 each=2 perS=6");
    site(
        "budget",
        "cancel=1 ask=1 holdoff=1 free=3 ratio=0.1 span=5000 positions=5 width=3 sizes=1 perS=5");
    site("single", "bundle=4 call=8 attempts=3 positions=4 width=4 perS=4 work=80");
    site(
        "sparse",
        "instances=40 ranks=1 hedging=1 cancel=1 ask=1 positions=3 width=2 each=3 perS=8 work=90"
            + " faultMs=1500");
    site(
        "overload",
        "hosted=3 instances=3 hedging=1 free=5 ratio=0.2 span=3000 positions=3 width=2 perS=9");
    site(
        "direct",
        "direct=1 ask=1 hedging=1 cancel=1 holdoff=1 bundle=2 call=4 positions=4 width=2 each=2"
            + " perS=6");
  }

  private static void site(String name, String figures) {
    SITES.put(name, SimulatedFleet.Deployment.parse(figures));
  }

  /** Batches of a run against a simulated fleet, and the replies to them, one a line. */
  private record Recording(byte[] in, byte[] out) {}

  /**
   * Guards against any change of an action in short runs; a failure shows the lines that differ.
   */
  @TestFactory
  List<DynamicTest> storedEventsReplayToStoredActionsByteForByte() {
    List<DynamicTest> tests = new ArrayList<>();
    SITES.forEach(
        (name, site) ->
            tests.add(
                DynamicTest.dynamicTest(
                    name,
                    () -> {
                      byte[] in = readStored(name + ".in.gz");
                      byte[] out = site.isEnabled("direct") ? replayDirectly(in) : replayOnWire(in);
                      assertThat(new String(out, UTF_8).lines())
                          .containsExactlyElementsOf(
                              new String(readStored(name + ".out.gz"), UTF_8).lines().toList());
                      assertThat(out).isEqualTo(readStored(name + ".out.gz"));
                    })));
    return tests;
  }

  /** Guards against changes that show only in states that a long run reaches. */
  @TestFactory
  List<DynamicTest> longRunsProduceActionsWithStoredDigest() throws IOException {
    List<DynamicTest> tests = new ArrayList<>();
    for (String line : new String(readResource("digests.txt"), UTF_8).lines().toList()) {
      String[] words = line.split(" ");
      tests.add(
          DynamicTest.dynamicTest(
              words[0] + " " + words[1],
              () ->
                  assertThat(digestOfLongRun(SITES.get(words[0]), Long.parseLong(words[1])))
                      .isEqualTo(words[2])));
    }
    assertThat(tests).hasSize(SITES.size() * LONG_SEEDS);
    return tests;
  }

  /** Guards against fixtures that no longer cover an action, an outcome or a list update. */
  @Test
  void storedStreamsContainAllActionsAndOutcomes() throws IOException {
    StringBuilder in = new StringBuilder();
    StringBuilder out = new StringBuilder();
    for (String name : SITES.keySet()) {
      in.append(new String(readStored(name + ".in.gz"), UTF_8));
      out.append(new String(readStored(name + ".out.gz"), UTF_8));
    }
    assertThat(countMatches(out, "\"kind\":\"(\\w+)\"").keySet())
        .containsExactlyInAnyOrder(
            "Assign",
            "Busy",
            "CallOff",
            "Disconnect",
            "Follow",
            "ReportFailure",
            "SetTimer",
            "WrapUp");
    assertThat(countMatches(out, "\"complete\":(\\w+)").keySet()).containsExactly("false", "true");
    assertThat(countMatches(in, "\"disposition\":\"(\\w+)\"").keySet())
        .containsExactlyInAnyOrder(
            "broken",
            "failure",
            "overloaded",
            "spoilt",
            "success",
            "timed_out",
            "unreachable",
            "withdrawn");
    assertThat(countMatches(in, "\"mode\":\"(\\w+)\"").keySet())
        .containsExactlyInAnyOrder("incr", "lost", "moved", "total", "warm_copy");
  }

  /** Writes the fixtures; excluded from test runs by default. */
  @Test
  @Tag("fixture-writer")
  void writeTheFixtures() throws IOException {
    Path folder = Files.createDirectories(Path.of("src/test/resources", FIXTURE_FOLDER));
    StringBuilder digests = new StringBuilder();
    for (Map.Entry<String, SimulatedFleet.Deployment> entry : SITES.entrySet()) {
      Recording recording = record(entry.getValue(), 1, STORED_MESSAGES);
      Files.write(folder.resolve(entry.getKey() + ".in.gz"), gzip(recording.in));
      Files.write(folder.resolve(entry.getKey() + ".out.gz"), gzip(recording.out));
      System.out.println(
          entry.getKey() + " " + countMatches(asText(recording.out), "\"kind\":\"(\\w+)\""));
      System.out.println(countMatches(asText(recording.in), "\"(?:kind|disposition)\":\"(\\w+)\""));
      for (long seed = 2; seed < 2 + LONG_SEEDS; seed++) {
        String digest = digestOfLongRun(entry.getValue(), seed);
        digests.append(entry.getKey() + " " + seed + " " + digest + "\n");
      }
    }
    Files.writeString(folder.resolve("digests.txt"), digests);
  }

  private static CharSequence asText(byte[] bytes) {
    return new String(bytes, UTF_8);
  }

  private static Map<String, Integer> countMatches(CharSequence text, String pattern) {
    Map<String, Integer> counts = new TreeMap<>();
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    while (matcher.find()) {
      counts.merge(matcher.group(1), 1, Integer::sum);
    }
    return counts;
  }

  private static String digestOfLongRun(SimulatedFleet.Deployment site, long seed)
      throws IOException {
    try {
      byte[] out = record(site, seed, LONG_MESSAGES).out;
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(out));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private static Recording record(SimulatedFleet.Deployment site, long seed, int messages)
      throws IOException {
    SimulatedFleet fleet = new SimulatedFleet(site, seed);
    ByteArrayOutputStream in = new ByteArrayOutputStream();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    if (site.isEnabled("direct")) {
      DirectHost host = new DirectHost();
      while (fleet.messageCount() < messages) {
        String batch = fleet.nextBatch();
        in.writeBytes((batch + "\n").getBytes(UTF_8));
        String reply = host.process(batch);
        out.writeBytes((reply + "\n").getBytes(UTF_8));
        fleet.applyReply(reply);
      }
    } else {
      ByteArrayOutputStream reply = new ByteArrayOutputStream();
      new SimulatorHost().run(new ClosedLoopInput(fleet, messages, in, out, reply), reply);
      out.writeBytes(reply.toByteArray());
    }
    return new Recording(in.toByteArray(), out.toByteArray());
  }

  private static byte[] replayOnWire(byte[] in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorHost().run(new ByteArrayInputStream(in), out);
    return out.toByteArray();
  }

  private static byte[] replayDirectly(byte[] in) throws IOException {
    DirectHost host = new DirectHost();
    StringBuilder out = new StringBuilder();
    for (String line : new String(in, UTF_8).lines().toList()) {
      out.append(host.process(line)).append('\n');
    }
    return out.toString().getBytes(UTF_8);
  }

  private static byte[] readResource(String name) throws IOException {
    try (InputStream stream =
        PolicyReplayTest.class.getClassLoader().getResourceAsStream(FIXTURE_FOLDER + name)) {
      return stream == null ? new byte[0] : stream.readAllBytes();
    }
  }

  private static byte[] readStored(String name) throws IOException {
    try (InputStream stream = new GZIPInputStream(new ByteArrayInputStream(readResource(name)))) {
      return stream.readAllBytes();
    }
  }

  private static byte[] gzip(byte[] bytes) throws IOException {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (OutputStream stream =
        new GZIPOutputStream(compressed) {
          {
            def.setLevel(Deflater.BEST_COMPRESSION);
          }
        }) {
      stream.write(bytes);
    }
    return compressed.toByteArray();
  }

  /**
   * Input of a host that alternately reads and writes a line. Each line is generated when it is
   * read, after the fleet was given the reply to the line before.
   */
  private static final class ClosedLoopInput extends InputStream {
    private final SimulatedFleet fleet;
    private final int messages;
    private final ByteArrayOutputStream in;
    private final ByteArrayOutputStream out;
    private final ByteArrayOutputStream reply;
    private byte[] line = {};
    private int position;

    ClosedLoopInput(
        SimulatedFleet fleet,
        int messages,
        ByteArrayOutputStream in,
        ByteArrayOutputStream out,
        ByteArrayOutputStream reply) {
      this.fleet = fleet;
      this.messages = messages;
      this.in = in;
      this.out = out;
      this.reply = reply;
    }

    /**
     * Passes on the last reply and generates the next line; returns false at the end of the run.
     */
    private boolean advance() {
      if (reply.size() > 0) {
        fleet.applyReply(reply.toString(UTF_8));
        out.writeBytes(reply.toByteArray());
        reply.reset();
      }
      if (fleet.messageCount() >= messages) {
        return false;
      }
      line = (fleet.nextBatch() + "\n").getBytes(UTF_8);
      in.writeBytes(line);
      position = 0;
      return true;
    }

    @Override
    public int available() {
      return line.length - position;
    }

    @Override
    public int read() {
      return position < line.length || advance() ? line[position++] : -1;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) {
      if (position == line.length && !advance()) {
        return -1;
      }
      int count = Math.min(length, line.length - position);
      System.arraycopy(line, position, buffer, offset, count);
      position += count;
      return count;
    }
  }
}
