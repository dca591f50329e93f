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

/**
 * A snapshot whole, cut, spoilt and of an older version; and what became of duties, which stands in
 * it.
 */
class SnapshotTest {
  private static final LeaseConfig TERMS = new LeaseConfig(1_000_000, 0.05, 10, 100);

  private final LeaseTable book = new LeaseTable(TERMS);
  private final LeaseAuditLog history = new LeaseAuditLog(Map.of());
  private int number;

  private void apply(long at, Kind kind, String who, String duty, long token) {
    LeaseTableState before = book.state();
    LeaseCommand.Plan plan =
        kind == Kind.PLAN ? new LeaseCommand.Plan(TERMS, List.of("report")) : null;
    book.apply(
        1, at * 1000, new LeaseCommand(kind, "of " + who, ++number, who, duty, token, 0, "", plan));
    history.recordChanges(before, book.state(), at);
  }

  private void some() {
    apply(0, Kind.PLAN, "", "", 0);
    apply(10, Kind.JOIN, "g0", "", 0);
    apply(20, Kind.CLAIM, "g0", "report", 0);
    apply(30, Kind.RENEW, "g0", "", 0);
    apply(2000, Kind.JOIN, "g1", "", 0);
    apply(2010, Kind.CLAIM, "g1", "report", 0);
    apply(2020, Kind.MOVE, "g1", "report", 0);
    apply(2030, Kind.RELEASE, "g1", "report", 2);
  }

  @Test
  void whatBecameOfADutyIsToldInItsOrder() {
    some();
    assertThat(history.all())
        .isEqualTo(
            Map.of(
                "report",
                List.of(
                    new AuditEntry(20, 1, "g0", "granted"),
                    new AuditEntry(2010, 2, "g1", "granted, as the lease of g0 was over"),
                    new AuditEntry(2020, 2, "g1", "moved to"),
                    new AuditEntry(2030, 2, "g1", "let go"))));
  }

  @Test
  void onlyTheLastOfItIsKept() {
    some();
    for (int i = 0; i < 100; i++) {
      apply(3000 + i, Kind.MOVE, i % 2 == 0 ? "" : "g1", "report", 0);
    }
    assertThat(history.all().get("report"))
        .hasSize(LeaseAuditLog.MAX_ENTRIES_PER_TASK)
        .last()
        .isEqualTo(new AuditEntry(3099, 2, "g1", "moved to"));
  }

  @Test
  void aSnapshotCutAtAnyByteOrWithAnyBitTurnedIsDamagedAndAWholeOneIsNot() throws Exception {
    some();
    SnapshotContent kept = new SnapshotContent(book.state(), history.all());
    byte[] whole = SnapshotFormat.encode(kept);
    assertThat(SnapshotFormat.decode("s", whole)).isEqualTo(kept);
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = Arrays.copyOf(whole, length);
      assertThatThrownBy(() -> SnapshotFormat.decode("s", cut))
          .as("cut to " + length)
          .isInstanceOf(StorageException.CorruptSnapshot.class);
      byte[] turned = whole.clone();
      turned[length] ^= (byte) (1 << length % 8);
      assertThatThrownBy(() -> SnapshotFormat.decode("s", turned))
          .as("turned at " + length)
          .isInstanceOf(StorageException.CorruptSnapshot.class);
    }
  }

  @Test
  void oneOfTheVersionBeforeIsReadAndHasNoHistory() throws Exception {
    some();
    byte[] json = LeaseCodec.write(book.state());
    CRC32C crc = new CRC32C();
    crc.update(json);
    byte[] old =
        ByteBuffer.allocate(12 + json.length).putInt(1).putLong(crc.getValue()).put(json).array();
    assertThat(SnapshotFormat.decode("s", old))
        .isEqualTo(new SnapshotContent(book.state(), Map.of()));
  }
}
