package tidebank.coordinator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import tidebank.coordinator.CoordinatorClient.AuditEntry;
import tidebank.coordinator.LeaseStateMachine.SnapshotContent;
import tidebank.errors.StorageException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTable;
import tidebank.lease.LeaseTableState;

/** Tests of the snapshot format and of the audit log that snapshots contain. */
class SnapshotTest {
  private static final LeaseConfig LEASE_CONFIG = new LeaseConfig(1_000_000, 0.05, 10, 100);

  private final LeaseTable table = new LeaseTable(LEASE_CONFIG);
  private final LeaseAuditLog auditLog = new LeaseAuditLog(Map.of());
  private int lastSequence;

  private void apply(long timeMs, Kind kind, String member, String task, long fencingToken) {
    LeaseTableState before = table.state();
    LeaseCommand.Plan plan =
        kind == Kind.PLAN ? new LeaseCommand.Plan(LEASE_CONFIG, List.of("report")) : null;
    table.apply(
        1,
        timeMs * 1000,
        new LeaseCommand(
            kind, "of " + member, ++lastSequence, member, task, fencingToken, 0, "", plan));
    auditLog.recordChanges(before, table.state(), timeMs);
  }

  private void applyCommands() {
    apply(0, Kind.PLAN, "", "", 0);
    apply(10, Kind.JOIN, "g0", "", 0);
    apply(20, Kind.CLAIM, "g0", "report", 0);
    apply(30, Kind.RENEW, "g0", "", 0);
    apply(2000, Kind.JOIN, "g1", "", 0);
    apply(2010, Kind.CLAIM, "g1", "report", 0);
    apply(2020, Kind.MOVE, "g1", "report", 0);
    apply(2030, Kind.RELEASE, "g1", "report", 2);
  }

  /** Guards against lost, reordered or misattributed entries of a task's audit log. */
  @Test
  void auditLogRecordsGrantsMovesAndReleasesInOrder() {
    applyCommands();
    assertThat(auditLog.entriesByTask())
        .isEqualTo(
            Map.of(
                "report",
                List.of(
                    new AuditEntry(20, 1, "g0", "granted"),
                    new AuditEntry(2010, 2, "g1", "granted, as the lease of g0 was over"),
                    new AuditEntry(2020, 2, "g1", "moved to"),
                    new AuditEntry(2030, 2, "g1", "let go"))));
  }

  /** Guards against an audit log that grows without bound, as each move adds an entry. */
  @Test
  void auditLogKeepsOnlyTheLatestEntriesOfATask() {
    applyCommands();
    for (int i = 0; i < 100; i++) {
      apply(3000 + i, Kind.MOVE, i % 2 == 0 ? "" : "g1", "report", 0);
    }
    assertThat(auditLog.entriesByTask().get("report"))
        .hasSize(LeaseAuditLog.MAX_ENTRIES_PER_TASK)
        .last()
        .isEqualTo(new AuditEntry(3099, 2, "g1", "moved to"));
  }

  /** Guards against restoring a snapshot that was truncated or damaged on disk. */
  @Test
  void truncatedOrBitFlippedSnapshotIsReportedAsCorrupt() throws Exception {
    applyCommands();
    SnapshotContent content = new SnapshotContent(table.state(), auditLog.entriesByTask());
    byte[] encoded = SnapshotFormat.encode(content);
    assertThat(SnapshotFormat.decode("s", encoded)).isEqualTo(content);
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      assertThatThrownBy(() -> SnapshotFormat.decode("s", truncated))
          .as("truncated to " + length + " bytes")
          .isInstanceOf(StorageException.CorruptSnapshot.class);
      byte[] flipped = encoded.clone();
      flipped[length] ^= (byte) (1 << length % 8);
      assertThatThrownBy(() -> SnapshotFormat.decode("s", flipped))
          .as("bit flipped in byte " + length)
          .isInstanceOf(StorageException.CorruptSnapshot.class);
    }
  }

  /** Guards against a coordinator that cannot start on snapshots of the previous version. */
  @Test
  void version1SnapshotIsReadWithAnEmptyAuditLog() throws Exception {
    applyCommands();
    byte[] json = LeaseCodec.write(table.state());
    CRC32C crc = new CRC32C();
    crc.update(json);
    byte[] version1 =
        ByteBuffer.allocate(12 + json.length).putInt(1).putLong(crc.getValue()).put(json).array();
    assertThat(SnapshotFormat.decode("s", version1))
        .isEqualTo(new SnapshotContent(table.state(), Map.of()));
  }
}
