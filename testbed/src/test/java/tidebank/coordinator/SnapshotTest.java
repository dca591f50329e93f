package tidebank.coordinator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import tidebank.base.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.Command;
import tidebank.lease.Command.Kind;
import tidebank.lease.LeaseBook;
import tidebank.lease.Terms;
import tidebank.coordinator.LeaseMachine.Kept;
import tidebank.coordinator.StewardClient.Past;

/**
 * A snapshot whole, cut, spoilt and of an older version; and what became of duties, which stands in
 * it.
 */
class SnapshotTest {
  private static final Terms TERMS = new Terms(1_000_000, 0.05, 10, 100);

  private final LeaseBook book = new LeaseBook(TERMS);
  private final DutyHistory history = new DutyHistory(Map.of());
  private int number;

  private void apply(long at, Kind kind, String who, String duty, long token) {
    LeaseBook.State before = book.state();
    Command.Plan plan = kind == Kind.PLAN ? new Command.Plan(TERMS, List.of("report")) : null;
    book.apply(
        1, at * 1000, new Command(kind, "of " + who, ++number, who, duty, token, 0, "", plan));
    history.applied(before, book.state(), at);
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
                    new Past(20, 1, "g0", "granted"),
                    new Past(2010, 2, "g1", "granted, as the lease of g0 was over"),
                    new Past(2020, 2, "g1", "moved to"),
                    new Past(2030, 2, "g1", "let go"))));
  }

  @Test
  void onlyTheLastOfItIsKept() {
    some();
    for (int i = 0; i < 100; i++) {
      apply(3000 + i, Kind.MOVE, i % 2 == 0 ? "" : "g1", "report", 0);
    }
    assertThat(history.all().get("report"))
        .hasSize(DutyHistory.KEPT)
        .last()
        .isEqualTo(new Past(3099, 2, "g1", "moved to"));
  }

  @Test
  void aSnapshotCutAtAnyByteOrWithAnyBitTurnedIsDamagedAndAWholeOneIsNot() throws Exception {
    some();
    Kept kept = new Kept(book.state(), history.all());
    byte[] whole = LeaseMachine.packed(kept);
    assertThat(LeaseMachine.unpacked("s", whole)).isEqualTo(kept);
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = Arrays.copyOf(whole, length);
      assertThatThrownBy(() -> LeaseMachine.unpacked("s", cut))
          .as("cut to " + length)
          .isInstanceOf(TidebankException.SnapshotDamaged.class);
      byte[] turned = whole.clone();
      turned[length] ^= (byte) (1 << length % 8);
      assertThatThrownBy(() -> LeaseMachine.unpacked("s", turned))
          .as("turned at " + length)
          .isInstanceOf(TidebankException.SnapshotDamaged.class);
    }
  }

  @Test
  void oneOfTheVersionBeforeIsReadAndHasNoHistory() throws Exception {
    some();
    byte[] json = LeaseCodec.bytes(book.state());
    CRC32C crc = new CRC32C();
    crc.update(json);
    byte[] old =
        ByteBuffer.allocate(12 + json.length).putInt(1).putLong(crc.getValue()).put(json).array();
    assertThat(LeaseMachine.unpacked("s", old)).isEqualTo(new Kept(book.state(), Map.of()));
  }
}
