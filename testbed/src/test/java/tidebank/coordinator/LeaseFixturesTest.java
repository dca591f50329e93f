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
 * Compatibility with an earlier release: its commands, results, state, log records and snapshots,
 * stored as fixtures, are read and written again to the same bytes. To regenerate the fixtures, run
 * {@code mvn -o -pl MODULE -am test -Dtest=LeaseFixturesTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dtests.excluded=} with the module of this class.
 */
class LeaseFixturesTest {
  private static final Path FIXTURE_DIRECTORY = Path.of("src/test/resources/fixtures/control");
  private static final LeaseConfig LEASE_CONFIG = new LeaseConfig(1_000_000, 0.05, 10, 100);
  private static final int SNAPSHOT_HEADER = Integer.BYTES + Long.BYTES;

  /** Keys of error messages and advice, which may be reworded between releases. */
  private static final Set<String> MESSAGE_KEYS = Set.of("what", "advice");

  private static byte[] fixture(String name) throws IOException {
    try (var in = LeaseFixturesTest.class.getResourceAsStream("/fixtures/control/" + name)) {
      assertThat(in).as(name).isNotNull();
      return in.readAllBytes();
    }
  }

  private static List<byte[]> fixtureLines(String name) throws IOException {
    return new String(fixture(name), StandardCharsets.UTF_8)
        .lines()
        .map(line -> line.getBytes(StandardCharsets.UTF_8))
        .toList();
  }

  private static <T> List<T> readAndRewrite(String name, Class<T> type) throws IOException {
    List<T> values = new ArrayList<>();
    for (byte[] line : fixtureLines(name)) {
      T value = LeaseCodec.read(line, type);
      assertThat(LeaseCodec.write(value))
          .as(new String(line, StandardCharsets.UTF_8))
          .isEqualTo(line);
      values.add(value);
    }
    return values;
  }

  /** Returns the JSON without the messages of errors; the order of keys is kept. */
  private static String withoutMessages(byte[] json) throws IOException {
    JsonNode root = new ObjectMapper().readTree(json);
    root.findParents("advice").forEach(error -> ((ObjectNode) error).remove(MESSAGE_KEYS));
    return root.toString();
  }

  // ---- the log that the fixtures were made from

  private static List<LogRecord> logRecords() {
    List<LogRecord> records = new ArrayList<>();
    Map<String, Long> lastSequences = new TreeMap<>();
    LeaseCommand.Plan plan =
        new LeaseCommand.Plan(LEASE_CONFIG, List.of("probe/a", "report", "retention"));
    addCommand(records, lastSequences, 1, 0, Kind.PLAN, "plan of s0", "", "", 0, 0, "", plan);
    addMemberCommand(records, lastSequences, 10, Kind.JOIN, "g0", "", 0, 0, "");
    addMemberCommand(records, lastSequences, 20, Kind.CLAIM, "g0", "probe/a", 0, 0, "");
    addMemberCommand(records, lastSequences, 30, Kind.CLAIM, "g0", "report", 0, 0, "");
    addMemberCommand(records, lastSequences, 40, Kind.JOIN, "g1", "", 0, 0, "");
    addMemberCommand(records, lastSequences, 50, Kind.CLAIM, "g1", "report", 0, 0, "");
    addMemberCommand(
        records, lastSequences, 60, Kind.PUBLISH, "g0", "report", 1, 0, "report-1-by-1.json");
    addMemberCommand(
        records, lastSequences, 70, Kind.PUBLISH, "g0", "report", 9, 1, "report-2-by-9.json");
    addCommand(
        records, lastSequences, 1, 80, Kind.MOVE, "operator", "g1", "retention", 0, 0, "", null);
    addMemberCommand(records, lastSequences, 90, Kind.CLAIM, "g1", "retention", 0, 0, "");
    addMemberCommand(records, lastSequences, 100, Kind.JOIN, "g2", "", 0, 0, "");
    addCommand(records, lastSequences, 1, 110, Kind.DRAIN, "operator", "g2", "", 0, 0, "", null);
    addCommand(
        records, lastSequences, 1, 120, Kind.MOVE, "operator-2", "", "nothing", 0, 0, "", null);
    addMemberCommand(records, lastSequences, 130, Kind.JOIN, "g3", "", 0, 0, "");
    addMemberCommand(records, lastSequences, 140, Kind.LEAVE, "g3", "", 0, 0, "");
    addCommand(records, lastSequences, 1, 150, Kind.RETIRE, "operator", "g3", "", 0, 0, "", null);
    addMemberCommand(records, lastSequences, 160, Kind.RELEASE, "g0", "probe/a", 1, 0, "");
    addCommand(records, lastSequences, 1, 170, Kind.ADMIT, "operator", "g2", "", 0, 0, "", null);
    addMemberCommand(records, lastSequences, 180, Kind.RENEW, "g0", "", 0, 0, "");
    addCommand(records, lastSequences, 1, 190, Kind.DRAIN, "operator", "g2", "", 0, 0, "", null);
    return records;
  }

  private static void addMemberCommand(
      List<LogRecord> records,
      Map<String, Long> lastSequences,
      long clockMs,
      Kind kind,
      String member,
      String task,
      long fencingToken,
      long revision,
      String value) {
    addCommand(
        records,
        lastSequences,
        1,
        clockMs,
        kind,
        "session of " + member,
        member,
        task,
        fencingToken,
        revision,
        value,
        null);
  }

  private static void addCommand(
      List<LogRecord> records,
      Map<String, Long> lastSequences,
      long term,
      long clockMs,
      Kind kind,
      String session,
      String member,
      String task,
      long fencingToken,
      long revision,
      String value,
      LeaseCommand.Plan plan) {
    long sequence = lastSequences.merge(session, 1L, Long::sum);
    records.add(
        new LogRecord(
            term,
            clockMs * 1000,
            1_700_000_000_000L + clockMs,
            new LeaseCommand(
                kind, session, sequence, member, task, fencingToken, revision, value, plan)));
  }

  /** The state, audit log and results after applying log records as the coordinator does. */
  private static final class AppliedLog {
    private final LeaseTable table = new LeaseTable(LEASE_CONFIG);
    private final LeaseAuditLog auditLog = new LeaseAuditLog(Map.of());
    private final List<CommandResult> results = new ArrayList<>();

    AppliedLog(List<LogRecord> records) {
      for (LogRecord record : records) {
        LeaseTableState before = table.state();
        results.add(table.apply(record.term(), record.leaderClock(), record.command()));
        auditLog.recordChanges(before, table.state(), record.timestampMs());
      }
    }

    SnapshotContent content() {
      return new SnapshotContent(table.state(), auditLog.entriesByTask());
    }
  }

  private static byte[] encodeVersion1(LeaseTableState state) {
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
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    for (Object value : values) {
      output.writeBytes(LeaseCodec.write(value));
      output.write('\n');
    }
    return output.toByteArray();
  }

  @Test
  @Tag("fixture-writer")
  void writeFixtures() throws IOException {
    List<LogRecord> records = logRecords();
    AppliedLog appliedLog = new AppliedLog(records);
    Files.createDirectories(FIXTURE_DIRECTORY);
    Files.write(FIXTURE_DIRECTORY.resolve("log-records.jsonl"), jsonLines(records));
    Files.write(
        FIXTURE_DIRECTORY.resolve("commands.jsonl"),
        jsonLines(records.stream().map(LogRecord::command).toList()));
    Files.write(FIXTURE_DIRECTORY.resolve("results.jsonl"), jsonLines(appliedLog.results));
    Files.write(
        FIXTURE_DIRECTORY.resolve("state.json"), LeaseCodec.write(appliedLog.table.state()));
    Files.write(
        FIXTURE_DIRECTORY.resolve("history.json"),
        LeaseCodec.write(appliedLog.auditLog.entriesByTask()));
    Files.write(
        FIXTURE_DIRECTORY.resolve("snapshot-version-2.bin"),
        SnapshotFormat.encode(appliedLog.content()));
    Files.write(
        FIXTURE_DIRECTORY.resolve("snapshot-version-1.bin"),
        encodeVersion1(appliedLog.table.state()));
  }

  // ---- the protocol

  /** Guards against a renamed kind or field, which would make stored commands unreadable. */
  @Test
  void commandsOfEveryKindRoundTripToTheSameBytes() throws IOException {
    List<LeaseCommand> commands = readAndRewrite("commands.jsonl", LeaseCommand.class);
    Set<String> kinds = new HashSet<>();
    for (byte[] line : fixtureLines("commands.jsonl")) {
      kinds.add(new ObjectMapper().readTree(line).path("kind").asText());
    }
    assertThat(kinds)
        .containsExactlyInAnyOrder(
            "JOIN", "RENEW", "LEAVE", "CLAIM", "RELEASE", "PUBLISH", "MOVE", "DRAIN", "ADMIT",
            "RETIRE", "PLAN");
    assertThat(commands.stream().map(LeaseCommand::kind).distinct().toList())
        .containsExactlyInAnyOrder(Kind.values());
    assertThat(commands.get(0).plan().tasks()).containsExactly("probe/a", "report", "retention");
    assertThat(commands.get(0).plan().config()).isEqualTo(LEASE_CONFIG);
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

  /** Guards against rejecting the short commands that clients of earlier releases send. */
  @Test
  void clientCommandMayOmitFieldsItsKindDoesNotUse() throws Exception {
    LeaseCommand command =
        LeaseCodec.readCommand(
            "{\"kind\":\"CLAIM\",\"session\":\"x\",\"number\":3,\"name\":\"g9\",\"duty\":\"report\"}"
                .getBytes(StandardCharsets.UTF_8));
    assertThat(new String(LeaseCodec.write(command), StandardCharsets.UTF_8))
        .isEqualTo(
            "{\"kind\":\"CLAIM\",\"session\":\"x\",\"number\":3,\"name\":\"g9\","
                + "\"duty\":\"report\",\"token\":0,\"revision\":0,\"value\":\"\",\"plan\":null}");
  }

  /** Guards against a renamed field or error code in the responses to members. */
  @Test
  void resultsRoundTripToTheSameBytes() throws IOException {
    List<CommandResult> results = readAndRewrite("results.jsonl", CommandResult.class);
    assertThat(results.get(3).leases())
        .containsExactly(
            new CommandResult.Grant("probe/a", 1), new CommandResult.Grant("report", 1));
    assertThat(results.get(1).assignedTasks()).containsExactly("probe/a", "report", "retention");
    assertThat(results.get(1).config()).isEqualTo(LEASE_CONFIG);
    assertThat(results.get(6).revision()).isEqualTo(1);
    assertThat(
            results.stream()
                .filter(result -> result.error() != null)
                .map(result -> result.error().code())
                .toList())
        .containsExactly("TB-1002", "TB-1004", "TB-1001");
  }

  /** Guards against a renamed or lost field of the state, which snapshots and clients contain. */
  @Test
  void stateRoundTripsToTheSameBytes() throws IOException {
    LeaseTableState state = readAndRewrite("state.json", LeaseTableState.class).get(0);
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

  /** Guards against a renamed field or a reworded event in the stored audit log. */
  @Test
  void auditLogRoundTripsToTheSameBytes() throws IOException {
    JsonNode json = new ObjectMapper().readTree(fixture("history.json"));
    assertThat(json.fieldNames()).toIterable().containsExactly("probe/a", "report", "retention");
    TreeMap<String, List<AuditEntry>> auditLog = new TreeMap<>();
    json.fieldNames()
        .forEachRemaining(
            task -> {
              try {
                auditLog.put(
                    task,
                    Arrays.asList(
                        LeaseCodec.read(
                            json.get(task).toString().getBytes(StandardCharsets.UTF_8),
                            AuditEntry[].class)));
              } catch (IOException exception) {
                throw new AssertionError(exception);
              }
            });
    assertThat(LeaseCodec.write(auditLog)).isEqualTo(fixture("history.json"));
    assertThat(auditLog.get("probe/a"))
        .containsExactly(
            new AuditEntry(1_700_000_000_020L, 1, "g0", "granted"),
            new AuditEntry(1_700_000_000_160L, 1, "g0", "let go"));
    assertThat(auditLog.get("retention"))
        .containsExactly(
            new AuditEntry(1_700_000_000_080L, 0, "g1", "moved to"),
            new AuditEntry(1_700_000_000_090L, 1, "g1", "granted"));
  }

  // ---- the log and snapshots

  /**
   * Guards against a release that replays a stored log to other results, so that its replicas
   * diverge from those of an earlier release.
   */
  @Test
  void logRecordsRoundTripAndReplayToTheStoredResults() throws IOException {
    List<LogRecord> records = readAndRewrite("log-records.jsonl", LogRecord.class);
    assertThat(records.get(1).term()).isEqualTo(1);
    assertThat(records.get(1).leaderClock()).isEqualTo(10_000);
    assertThat(records.get(1).timestampMs()).isEqualTo(1_700_000_000_010L);
    AppliedLog appliedLog = new AppliedLog(records);
    List<byte[]> results = fixtureLines("results.jsonl");
    for (int i = 0; i < results.size(); i++) {
      assertThat(withoutMessages(LeaseCodec.write(appliedLog.results.get(i))))
          .isEqualTo(withoutMessages(results.get(i)));
    }
    assertThat(withoutMessages(LeaseCodec.write(appliedLog.table.state())))
        .isEqualTo(withoutMessages(fixture("state.json")));
    assertThat(LeaseCodec.write(appliedLog.auditLog.entriesByTask()))
        .isEqualTo(fixture("history.json"));
  }

  /** Guards against a changed snapshot format under the same version number. */
  @Test
  void snapshotRoundTripsToTheSameBytes() throws Exception {
    byte[] bytes = fixture("snapshot-version-2.bin");
    SnapshotContent content = SnapshotFormat.decode("s", bytes);
    assertThat(SnapshotFormat.encode(content)).isEqualTo(bytes);
    assertThat(LeaseCodec.write(content.state())).isEqualTo(fixture("state.json"));
    assertThat(LeaseCodec.write(new TreeMap<>(content.auditLog())))
        .isEqualTo(fixture("history.json"));
  }

  /** Guards against losing state when a coordinator is upgraded from snapshot version 1. */
  @Test
  void version1SnapshotIsRewrittenAsVersion2WithoutAuditLog() throws Exception {
    byte[] bytes = fixture("snapshot-version-1.bin");
    SnapshotContent content = SnapshotFormat.decode("s", bytes);
    assertThat(content.auditLog()).isEmpty();
    assertThat(encodeVersion1(content.state())).isEqualTo(bytes);
    byte[] written = SnapshotFormat.encode(content);
    assertThat(ByteBuffer.wrap(written).getInt()).isEqualTo(2);
    String state = new String(fixture("state.json"), StandardCharsets.UTF_8);
    assertThat(
            new String(
                written, SNAPSHOT_HEADER, written.length - SNAPSHOT_HEADER, StandardCharsets.UTF_8))
        .isEqualTo("{\"state\":" + state + ",\"history\":{}}");
  }

  /** Guards against large files in the repository. */
  @Test
  void everyFixtureHasAtMost60KiB() throws IOException {
    List<Path> large = new ArrayList<>();
    try (var files = Files.walk(FIXTURE_DIRECTORY)) {
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
