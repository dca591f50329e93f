package tidebank.capture;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tidebank.model.Event;
import tidebank.model.Outcome;
import tidebank.policy.RoutingPolicy;

/** Captures that an earlier build stored are read, replayed and written as they were. */
class StoredCaptureTest {
  private static final int SEGMENT_HEAD = 24;
  private static final int BLOCK_HEAD = 12;

  @TempDir private Path folder;

  private static List<CaptureRecord> read(String name) throws IOException {
    List<CaptureRecord> entries = new ArrayList<>();
    for (Path file : CaptureSegments.list(CaptureFixtures.ROOT.resolve(name))) {
      CaptureSegments.SegmentContent read = CaptureSegments.read(file);
      assertThat(read.damage()).as(file.toString()).isEmpty();
      entries.addAll(read.records());
    }
    return entries;
  }

  private static List<byte[]> blocks(Path file) throws IOException, DataFormatException {
    ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file)).position(SEGMENT_HEAD);
    List<byte[]> blocks = new ArrayList<>();
    while (in.hasRemaining()) {
      byte[] packed = new byte[in.getInt()];
      byte[] plain = new byte[in.getInt()];
      in.position(in.position() + BLOCK_HEAD - 8);
      in.get(packed);
      Inflater inflater = new Inflater(true);
      inflater.setInput(packed);
      assertThat(inflater.inflate(plain)).isEqualTo(plain.length);
      inflater.end();
      blocks.add(plain);
    }
    return blocks;
  }

  @Test
  void everyKindOfEntryEventActionAndOutcomeIsReadAsItWasWritten() throws IOException {
    assertThat(read("every-kind")).isEqualTo(CaptureFixtures.everyKind());
  }

  @Test
  void settingsAreStoredUnderTheseNames() throws Exception {
    Path file = CaptureSegments.list(CaptureFixtures.ROOT.resolve("every-kind")).get(0);
    String block = new String(blocks(file).get(0), StandardCharsets.UTF_8);
    assertThat(CaptureFixtures.settingsJson(block))
        .isEqualTo(Files.readString(CaptureFixtures.ROOT.resolve("every-kind/settings.json")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"every-kind", "digest", "whole", "busy"})
  void entriesAreWrittenToTheBytesTheyWereReadFrom(String name) throws Exception {
    for (Path file : CaptureSegments.list(CaptureFixtures.ROOT.resolve(name))) {
      List<byte[]> blocks = blocks(file);
      assertThat(blocks).isNotEmpty();
      for (byte[] plain : blocks) {
        CaptureEncoder encoder = new CaptureEncoder();
        new CaptureDecoder(plain).readRecords().forEach(encoder::write);
        assertThat(encoder.toByteArray()).as(file.toString()).isEqualTo(plain);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"every-kind", "digest", "whole", "busy"})
  void segmentsAreFramedAsTheyWere(String name) throws Exception {
    for (Path file : CaptureSegments.list(CaptureFixtures.ROOT.resolve(name))) {
      byte[] stored = Files.readAllBytes(file);
      long number = ByteBuffer.wrap(stored).getLong(SEGMENT_HEAD - 12);
      try (CaptureSegments.SegmentWriter writer =
          new CaptureSegments.SegmentWriter(folder, number)) {
        for (byte[] plain : blocks(file)) {
          writer.writeBlock(plain);
        }
      }
      Path written = folder.resolve(file.getFileName());
      assertThat(Arrays.copyOf(Files.readAllBytes(written), SEGMENT_HEAD))
          .isEqualTo(Arrays.copyOf(stored, SEGMENT_HEAD));
      // How well the blocks are packed is the platform's; what is in them is not.
      assertThat(joined(written)).isEqualTo(joined(file));
    }
  }

  private static byte[] joined(Path file) throws Exception {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] block : blocks(file)) {
      all.write(block);
    }
    return all.toByteArray();
  }

  @ParameterizedTest
  @ValueSource(strings = {"digest", "whole", "busy"})
  void theRoutingPolicyDecidesEveryTurnAsItDidThen(String name) throws IOException {
    RoutingPolicy policy = null;
    int turns = 0;
    for (CaptureRecord entry : read(name)) {
      if (entry instanceof CaptureRecord.PolicyStarted started) {
        assertThat(started)
            .isEqualTo(new CaptureRecord.PolicyStarted(CaptureFixtures.settings(), started.seed()));
        policy = new RoutingPolicy(started.settings(), started.seed());
      } else if (entry instanceof CaptureRecord.DecisionRound turn) {
        var actions = policy.runRound(turn.nowUs(), turn.events());
        assertThat(ActionDigest.of(actions)).as(name + ", turn " + turns).isEqualTo(turn.digest());
        if (name.equals("whole")) {
          assertThat(turn.actions()).isEqualTo(actions);
        } else {
          assertThat(turn.actions()).isNull();
        }
        turns++;
      }
    }
    assertThat(turns).isEqualTo(name.equals("busy") ? 4000 : 150);
  }

  @Test
  void theBusyCaptureHoldsEveryKindOfEventAndOutcome() throws IOException {
    Set<Class<?>> kinds = new HashSet<>();
    Set<Outcome> outcomes = new HashSet<>();
    for (CaptureRecord entry : read("busy")) {
      if (entry instanceof CaptureRecord.DecisionRound turn) {
        for (Event event : turn.events()) {
          kinds.add(event.getClass());
          if (event instanceof Event.AttemptCompleted ended) {
            outcomes.add(ended.outcome());
          }
        }
      }
    }
    assertThat(kinds).containsExactlyInAnyOrder(Event.class.getPermittedSubclasses());
    assertThat(outcomes).containsExactlyInAnyOrder(Outcome.values());
  }

  @Test
  void storedFilesAreSmall() throws IOException {
    try (Stream<Path> files = Files.walk(CaptureFixtures.ROOT)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        assertThat(Files.size(file)).as(file.toString()).isLessThan(60 << 10);
      }
    }
  }
}
