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

/** Tests that captures of an earlier build are read, replayed and written back unchanged. */
class StoredCaptureTest {
  private static final int SEGMENT_HEADER_BYTES = 24;
  private static final int BLOCK_HEADER_BYTES = 12;

  @TempDir private Path folder;

  private static List<CaptureRecord> read(String name) throws IOException {
    List<CaptureRecord> records = new ArrayList<>();
    for (Path file : CaptureSegments.list(CaptureFixtures.ROOT.resolve(name))) {
      CaptureSegments.SegmentContent content = CaptureSegments.read(file);
      assertThat(content.damage()).as(file.toString()).isEmpty();
      records.addAll(content.records());
    }
    return records;
  }

  private static List<byte[]> readBlocks(Path file) throws IOException, DataFormatException {
    ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file)).position(SEGMENT_HEADER_BYTES);
    List<byte[]> blocks = new ArrayList<>();
    while (in.hasRemaining()) {
      byte[] compressed = new byte[in.getInt()];
      byte[] content = new byte[in.getInt()];
      in.position(in.position() + BLOCK_HEADER_BYTES - 8);
      in.get(compressed);
      Inflater inflater = new Inflater(true);
      inflater.setInput(compressed);
      assertThat(inflater.inflate(content)).isEqualTo(content.length);
      inflater.end();
      blocks.add(content);
    }
    return blocks;
  }

  /** Guards against a decoder that misreads kinds or enum ordinals of stored captures. */
  @Test
  void storedRecordsOfEveryKindAreReadUnchanged() throws IOException {
    assertThat(read("every-kind")).isEqualTo(CaptureFixtures.recordsOfEveryKind());
  }

  /** Guards against renamed record components that change the JSON field names of the settings. */
  @Test
  void settingsAreStoredUnderUnchangedFieldNames() throws Exception {
    Path file = CaptureSegments.list(CaptureFixtures.ROOT.resolve("every-kind")).get(0);
    String block = new String(readBlocks(file).get(0), StandardCharsets.UTF_8);
    assertThat(CaptureFixtures.extractSettingsJson(block))
        .isEqualTo(Files.readString(CaptureFixtures.ROOT.resolve("every-kind/settings.json")));
  }

  /** Guards against an encoder that writes a format other than the stored one. */
  @ParameterizedTest
  @ValueSource(strings = {"every-kind", "digest", "whole", "busy"})
  void reencodedRecordsEqualStoredBytes(String name) throws Exception {
    for (Path file : CaptureSegments.list(CaptureFixtures.ROOT.resolve(name))) {
      List<byte[]> blocks = readBlocks(file);
      assertThat(blocks).isNotEmpty();
      for (byte[] block : blocks) {
        CaptureEncoder encoder = new CaptureEncoder();
        new CaptureDecoder(block).readRecords().forEach(encoder::write);
        assertThat(encoder.toByteArray()).as(file.toString()).isEqualTo(block);
      }
    }
  }

  /** Guards against changes of the segment header and the framing of blocks. */
  @ParameterizedTest
  @ValueSource(strings = {"every-kind", "digest", "whole", "busy"})
  void rewrittenSegmentsHaveStoredHeaderAndBlocks(String name) throws Exception {
    for (Path file : CaptureSegments.list(CaptureFixtures.ROOT.resolve(name))) {
      byte[] stored = Files.readAllBytes(file);
      long number = ByteBuffer.wrap(stored).getLong(SEGMENT_HEADER_BYTES - 12);
      try (CaptureSegments.SegmentWriter writer =
          new CaptureSegments.SegmentWriter(folder, number)) {
        for (byte[] block : readBlocks(file)) {
          writer.writeBlock(block);
        }
      }
      Path written = folder.resolve(file.getFileName());
      assertThat(Arrays.copyOf(Files.readAllBytes(written), SEGMENT_HEADER_BYTES))
          .isEqualTo(Arrays.copyOf(stored, SEGMENT_HEADER_BYTES));
      // Compressed bytes depend on the platform's zlib, so the decompressed blocks are compared.
      assertThat(concatenateBlocks(written)).isEqualTo(concatenateBlocks(file));
    }
  }

  private static byte[] concatenateBlocks(Path file) throws Exception {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] block : readBlocks(file)) {
      all.write(block);
    }
    return all.toByteArray();
  }

  /** Guards against changes of the policy that alter the decisions of stored rounds. */
  @ParameterizedTest
  @ValueSource(strings = {"digest", "whole", "busy"})
  void policyRepeatsEveryStoredDecision(String name) throws IOException {
    RoutingPolicy policy = null;
    int rounds = 0;
    for (CaptureRecord record : read(name)) {
      if (record instanceof CaptureRecord.PolicyStarted started) {
        assertThat(started)
            .isEqualTo(new CaptureRecord.PolicyStarted(CaptureFixtures.settings(), started.seed()));
        policy = new RoutingPolicy(started.settings(), started.seed());
      } else if (record instanceof CaptureRecord.DecisionRound round) {
        var actions = policy.runRound(round.nowUs(), round.events());
        assertThat(ActionDigest.of(actions))
            .as(name + ", round " + rounds)
            .isEqualTo(round.digest());
        if (name.equals("whole")) {
          assertThat(round.actions()).isEqualTo(actions);
        } else {
          assertThat(round.actions()).isNull();
        }
        rounds++;
      }
    }
    assertThat(rounds).isEqualTo(name.equals("busy") ? 4000 : 150);
  }

  /** Guards against event types and outcomes that the replay of stored captures does not cover. */
  @Test
  void busyCaptureContainsEveryEventTypeAndOutcome() throws IOException {
    Set<Class<?>> kinds = new HashSet<>();
    Set<Outcome> outcomes = new HashSet<>();
    for (CaptureRecord record : read("busy")) {
      if (record instanceof CaptureRecord.DecisionRound round) {
        for (Event event : round.events()) {
          kinds.add(event.getClass());
          if (event instanceof Event.AttemptCompleted completed) {
            outcomes.add(completed.outcome());
          }
        }
      }
    }
    assertThat(kinds).containsExactlyInAnyOrder(Event.class.getPermittedSubclasses());
    assertThat(outcomes).containsExactlyInAnyOrder(Outcome.values());
  }

  /** Guards against large fixtures in the repository. */
  @Test
  void storedFilesAreSmallerThan60KiB() throws IOException {
    try (Stream<Path> files = Files.walk(CaptureFixtures.ROOT)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        assertThat(Files.size(file)).as(file.toString()).isLessThan(60 << 10);
      }
    }
  }
}
