package tidebank.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import tidebank.coordinator.CoordinatorClient.AuditEntry;
import tidebank.coordinator.LeaseStateMachine.LogRecord;
import tidebank.coordinator.LeaseStateMachine.SnapshotContent;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTable;
import tidebank.lease.LeaseTableState;
import tidebank.lease.Member;
import tidebank.lease.OperatorSession;
import tidebank.lease.TaskLease;

/**
 * Commands, results, state, log records and snapshots as an earlier release wrote them: read, and
 * written again to the same bytes. The fixtures are written anew by {@code mvn -o -pl MODULE -am
 * test -Dtest=LeaseFixturesTest -Dsurefire.failIfNoSpecifiedTests=false -Dtests.excluded=}, with
 * the module that this class is in.
 */
class LeaseFixturesTest {
  private static final Path SOURCES = Path.of("src/test/resources/fixtures/control");
  private static final LeaseConfig TERMS = new LeaseConfig(1_000_000, 0.05, 10, 100);
  private static final int SNAPSHOT_HEADER = Integer.BYTES + Long.BYTES;

  /** Keys with sentences for people, which may be worded anew. */
  private static final Set<String> SENTENCES = Set.of("what", "advice");

  private static byte[] fixture(String name) throws IOException {
    try (var in = LeaseFixturesTest.class.getResourceAsStream("/fixtures/control/" + name)) {
      assertThat(in).as(name).isNotNull();
      return in.readAllBytes();
    }
  }

  private static List<byte[]> lines(String name) throws IOException {
    return new String(fixture(name), StandardCharsets.UTF_8)
        .lines()
        .map(line -> line.getBytes(StandardCharsets.UTF_8))
        .toList();
  }

  private static <T> List<T> readAndWriteAgain(String name, Class<T> type) throws IOException {
    List<T> values = new ArrayList<>();
    for (byte[] line : lines(name)) {
      T value = LeaseCodec.read(line, type);
      assertThat(LeaseCodec.write(value))
          .as(new String(line, StandardCharsets.UTF_8))
          .isEqualTo(line);
      values.add(value);
    }
    return values;
  }

  /** As JSON without the sentences of a fault; keys keep their order. */
  private static String withoutSentences(byte[] json) throws IOException {
    JsonNode root = new ObjectMapper().readTree(json);
    root.findParents("advice").forEach(fault -> ((ObjectNode) fault).remove(SENTENCES));
    return root.toString();
  }

  // ---- the script that the fixtures were made by

  private static List<LogRecord> script() {
    List<LogRecord> records = new ArrayList<>();
    Map<String, Long> numbers = new TreeMap<>();
    LeaseCommand.Plan plan =
        new LeaseCommand.Plan(TERMS, List.of("probe/a", "report", "retention"));
    record(records, numbers, 1, 0, Kind.PLAN, "plan of s0", "", "", 0, 0, "", plan);
    member(records, numbers, 10, Kind.JOIN, "g0", "", 0, 0, "");
    member(records, numbers, 20, Kind.CLAIM, "g0", "probe/a", 0, 0, "");
    member(records, numbers, 30, Kind.CLAIM, "g0", "report", 0, 0, "");
    member(records, numbers, 40, Kind.JOIN, "g1", "", 0, 0, "");
    member(records, numbers, 50, Kind.CLAIM, "g1", "report", 0, 0, "");
    member(records, numbers, 60, Kind.PUBLISH, "g0", "report", 1, 0, "report-1-by-1.json");
    member(records, numbers, 70, Kind.PUBLISH, "g0", "report", 9, 1, "report-2-by-9.json");
    record(records, numbers, 1, 80, Kind.MOVE, "operator", "g1", "retention", 0, 0, "", null);
    member(records, numbers, 90, Kind.CLAIM, "g1", "retention", 0, 0, "");
    member(records, numbers, 100, Kind.JOIN, "g2", "", 0, 0, "");
    record(records, numbers, 1, 110, Kind.DRAIN, "operator", "g2", "", 0, 0, "", null);
    record(records, numbers, 1, 120, Kind.MOVE, "operator-2", "", "nothing", 0, 0, "", null);
    member(records, numbers, 130, Kind.JOIN, "g3", "", 0, 0, "");
    member(records, numbers, 140, Kind.LEAVE, "g3", "", 0, 0, "");
    record(records, numbers, 1, 150, Kind.RETIRE, "operator", "g3", "", 0, 0, "", null);
    member(records, numbers, 160, Kind.RELEASE, "g0", "probe/a", 1, 0, "");
    record(records, numbers, 1, 170, Kind.ADMIT, "operator", "g2", "", 0, 0, "", null);
    member(records, numbers, 180, Kind.RENEW, "g0", "", 0, 0, "");
    record(records, numbers, 1, 190, Kind.DRAIN, "operator", "g2", "", 0, 0, "", null);
    return records;
  }

  private static void member(
      List<LogRecord> records,
      Map<String, Long> numbers,
      long atMs,
      Kind kind,
      String name,
      String duty,
      long token,
      long revision,
      String value) {
    record(
        records,
        numbers,
        1,
        atMs,
        kind,
        "session of " + name,
        name,
        duty,
        token,
        revision,
        value,
        null);
  }

  private static void record(
      List<LogRecord> records,
      Map<String, Long> numbers,
      long term,
      long atMs,
      Kind kind,
      String session,
      String name,
      String duty,
      long token,
      long revision,
      String value,
      LeaseCommand.Plan plan) {
    long number = numbers.merge(session, 1L, Long::sum);
    records.add(
        new LogRecord(
            term,
            atMs * 1000,
            1_700_000_000_000L + atMs,
            new LeaseCommand(kind, session, number, name, duty, token, revision, value, plan)));
  }

  /** What a state machine makes of log records, as the coordinator applies them. */
  private static final class Applied {
    private final LeaseTable book = new LeaseTable(TERMS);
    private final LeaseAuditLog history = new LeaseAuditLog(Map.of());
    private final List<CommandResult> answers = new ArrayList<>();

    Applied(List<LogRecord> records) {
      for (LogRecord record : records) {
        LeaseTableState before = book.state();
        answers.add(book.apply(record.term(), record.leaderClock(), record.command()));
        history.recordChanges(before, book.state(), record.timestampMs());
      }
    }

    SnapshotContent kept() {
      return new SnapshotContent(book.state(), history.all());
    }
  }

  private static byte[] snapshotOfVersion1(LeaseTableState state) {
    byte[] json = LeaseCodec.write(state);
    CRC32C crc = new CRC32C();
    crc.update(json);
    return ByteBuffer.allocate(SNAPSHOT_HEADER + json.length)
        .putInt(1)
        .putLong(crc.getValue())
        .put(json)
        .array();
  }

  private static byte[] jsonLines(List<?> values) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (Object value : values) {
      all.writeBytes(LeaseCodec.write(value));
      all.write('\n');
    }
    return all.toByteArray();
  }

  @Test
  @Tag("fixture-writer")
  void writeFixtures() throws IOException {
    List<LogRecord> records = script();
    Applied applied = new Applied(records);
    Files.createDirectories(SOURCES);
    Files.write(SOURCES.resolve("log-records.jsonl"), jsonLines(records));
    Files.write(
        SOURCES.resolve("commands.jsonl"),
        jsonLines(records.stream().map(LogRecord::command).toList()));
    Files.write(SOURCES.resolve("results.jsonl"), jsonLines(applied.answers));
    Files.write(SOURCES.resolve("state.json"), LeaseCodec.write(applied.book.state()));
    Files.write(SOURCES.resolve("history.json"), LeaseCodec.write(applied.history.all()));
    Files.write(SOURCES.resolve("snapshot-version-2.bin"), SnapshotFormat.encode(applied.kept()));
    Files.write(
        SOURCES.resolve("snapshot-version-1.bin"), snapshotOfVersion1(applied.book.state()));
  }

  // ---- the protocol

  @Test
  void everyKindOfCommandIsReadAndWrittenToTheSameBytes() throws IOException {
    List<LeaseCommand> commands = readAndWriteAgain("commands.jsonl", LeaseCommand.class);
    Set<String> words = new HashSet<>();
    for (byte[] line : lines("commands.jsonl")) {
      words.add(new ObjectMapper().readTree(line).path("kind").asText());
    }
    assertThat(words)
        .containsExactlyInAnyOrder(
            "JOIN", "RENEW", "LEAVE", "CLAIM", "RELEASE", "PUBLISH", "MOVE", "DRAIN", "ADMIT",
            "RETIRE", "PLAN");
    assertThat(commands.stream().map(LeaseCommand::kind).distinct().toList())
        .containsExactlyInAnyOrder(Kind.values());
    assertThat(commands.get(0).plan().tasks()).containsExactly("probe/a", "report", "retention");
    assertThat(commands.get(0).plan().config()).isEqualTo(TERMS);
    LeaseCommand publish = commands.get(6);
    assertThat(publish)
        .isEqualTo(
            new LeaseCommand(
                Kind.PUBLISH,
                "session of g0",
                4,
                "g0",
                "report",
                1,
                0,
                "report-1-by-1.json",
                null));
  }

  @Test
  void aCommandFromOutsideMayLeaveOutWhatItsKindDoesNotNeed() throws Exception {
    LeaseCommand command =
        LeaseCodec.readCommand(
            "{\"kind\":\"CLAIM\",\"session\":\"x\",\"number\":3,\"name\":\"g9\",\"duty\":\"report\"}"
                .getBytes(StandardCharsets.UTF_8));
    assertThat(new String(LeaseCodec.write(command), StandardCharsets.UTF_8))
        .isEqualTo(
            "{\"kind\":\"CLAIM\",\"session\":\"x\",\"number\":3,\"name\":\"g9\","
                + "\"duty\":\"report\",\"token\":0,\"revision\":0,\"value\":\"\",\"plan\":null}");
  }

  @Test
  void resultsAreReadAndWrittenToTheSameBytes() throws IOException {
    List<CommandResult> answers = readAndWriteAgain("results.jsonl", CommandResult.class);
    assertThat(answers.get(3).leases())
        .containsExactly(
            new CommandResult.Grant("probe/a", 1), new CommandResult.Grant("report", 1));
    assertThat(answers.get(1).assignedTasks()).containsExactly("probe/a", "report", "retention");
    assertThat(answers.get(1).config()).isEqualTo(TERMS);
    assertThat(answers.get(6).revision()).isEqualTo(1);
    assertThat(
            answers.stream()
                .filter(answer -> answer.error() != null)
                .map(answer -> answer.error().code())
                .toList())
        .containsExactly("TB-1002", "TB-1004", "TB-1001");
  }

  @Test
  void theStateIsReadAndWrittenToTheSameBytes() throws IOException {
    LeaseTableState state = readAndWriteAgain("state.json", LeaseTableState.class).get(0);
    assertThat(state.term()).isEqualTo(1);
    assertThat(state.leaderClock()).isEqualTo(190_000);
    assertThat(state.tokenFloor()).isZero();
    assertThat(state.members().stream().map(Member::name).toList())
        .containsExactly("g0", "g1", "g2", "g3");
    Member member = state.members().get(2);
    assertThat(member.draining()).isTrue();
    assertThat(member.retired()).isFalse();
    assertThat(member.session()).isEqualTo("session of g2");
    assertThat(member.expiresAt()).isEqualTo(1_100_000);
    assertThat(member.eligibleAt()).isEqualTo(100_000);
    assertThat(member.flapCount()).isZero();
    assertThat(member.lastSequence()).isEqualTo(1);
    assertThat(member.lastResult().error()).isNull();
    assertThat(state.members().get(3).retired()).isTrue();
    TaskLease report = state.tasks().get(1);
    assertThat(report)
        .isEqualTo(
            new TaskLease(
                "report",
                1,
                "g0",
                "session of g0",
                1_180_000,
                "g0",
                "",
                1,
                1,
                "report-1-by-1.json"));
    assertThat(state.tasks().get(2).stickyMember()).isEqualTo("g1");
    assertThat(state.operators().stream().map(OperatorSession::session).toList())
        .containsExactly("plan of s0", "operator-2", "operator");
    assertThat(state.operators().get(1).lastResult().error().code()).isEqualTo("TB-1001");
  }

  @Test
  void theHistoryIsReadAndWrittenToTheSameBytes() throws IOException {
    JsonNode json = new ObjectMapper().readTree(fixture("history.json"));
    assertThat(json.fieldNames()).toIterable().containsExactly("probe/a", "report", "retention");
    TreeMap<String, List<AuditEntry>> history = new TreeMap<>();
    json.fieldNames()
        .forEachRemaining(
            duty -> {
              try {
                history.put(
                    duty,
                    Arrays.asList(
                        LeaseCodec.read(
                            json.get(duty).toString().getBytes(StandardCharsets.UTF_8),
                            AuditEntry[].class)));
              } catch (IOException fault) {
                throw new AssertionError(fault);
              }
            });
    assertThat(LeaseCodec.write(history)).isEqualTo(fixture("history.json"));
    assertThat(history.get("probe/a"))
        .containsExactly(
            new AuditEntry(1_700_000_000_020L, 1, "g0", "granted"),
            new AuditEntry(1_700_000_000_160L, 1, "g0", "let go"));
    assertThat(history.get("retention"))
        .containsExactly(
            new AuditEntry(1_700_000_000_080L, 0, "g1", "moved to"),
            new AuditEntry(1_700_000_000_090L, 1, "g1", "granted"));
  }

  // ---- the log and snapshots

  @Test
  void logRecordsAreReadWrittenToTheSameBytesAndLeadToTheSameResults() throws IOException {
    List<LogRecord> records = readAndWriteAgain("log-records.jsonl", LogRecord.class);
    assertThat(records.get(1).term()).isEqualTo(1);
    assertThat(records.get(1).leaderClock()).isEqualTo(10_000);
    assertThat(records.get(1).timestampMs()).isEqualTo(1_700_000_000_010L);
    Applied applied = new Applied(records);
    List<byte[]> results = lines("results.jsonl");
    for (int i = 0; i < results.size(); i++) {
      assertThat(withoutSentences(LeaseCodec.write(applied.answers.get(i))))
          .isEqualTo(withoutSentences(results.get(i)));
    }
    assertThat(withoutSentences(LeaseCodec.write(applied.book.state())))
        .isEqualTo(withoutSentences(fixture("state.json")));
    assertThat(LeaseCodec.write(applied.history.all())).isEqualTo(fixture("history.json"));
  }

  @Test
  void aSnapshotIsReadAndWrittenToTheSameBytes() throws Exception {
    byte[] bytes = fixture("snapshot-version-2.bin");
    SnapshotContent kept = SnapshotFormat.decode("s", bytes);
    assertThat(SnapshotFormat.encode(kept)).isEqualTo(bytes);
    assertThat(LeaseCodec.write(kept.state())).isEqualTo(fixture("state.json"));
    assertThat(LeaseCodec.write(new TreeMap<>(kept.auditLog()))).isEqualTo(fixture("history.json"));
  }

  @Test
  void aSnapshotOfTheVersionBeforeIsReadAndWrittenAsThisOneWithoutHistory() throws Exception {
    byte[] bytes = fixture("snapshot-version-1.bin");
    SnapshotContent kept = SnapshotFormat.decode("s", bytes);
    assertThat(kept.auditLog()).isEmpty();
    assertThat(snapshotOfVersion1(kept.state())).isEqualTo(bytes);
    byte[] written = SnapshotFormat.encode(kept);
    assertThat(ByteBuffer.wrap(written).getInt()).isEqualTo(2);
    String state = new String(fixture("state.json"), StandardCharsets.UTF_8);
    assertThat(
            new String(
                written, SNAPSHOT_HEADER, written.length - SNAPSHOT_HEADER, StandardCharsets.UTF_8))
        .isEqualTo("{\"state\":" + state + ",\"history\":{}}");
  }

  @Test
  void everyFixtureIsSmall() throws IOException {
    List<Path> large = new ArrayList<>();
    try (var files = Files.walk(SOURCES)) {
      for (Path file :
          files.filter(Files::isRegularFile).sorted(Comparator.naturalOrder()).toList()) {
        if (Files.size(file) > 60 * 1024) {
          large.add(file);
        }
      }
    }
    assertThat(large).isEmpty();
  }
}
