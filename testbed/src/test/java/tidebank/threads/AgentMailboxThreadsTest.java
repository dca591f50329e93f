package tidebank.threads;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.SortedMap;
import java.util.TreeMap;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import tidebank.fleet.AgentMailbox;

/** Checks {@link AgentMailbox} under all interleavings of a few operations of its threads. */
class AgentMailboxThreadsTest {
  private static SortedMap<String, Long> counters(long scans) {
    return new TreeMap<>(java.util.Map.of("scans", scans));
  }

  /** The production mailbox. */
  public static class Real {
    private final AgentMailbox mailbox = new AgentMailbox();

    @Operation(nonParallelGroup = "agent")
    public boolean askForCounters() {
      return mailbox.requestCounters();
    }

    @Operation(nonParallelGroup = "loop")
    public void transferCounters(long scans) {
      mailbox.deliverCounters(counters(scans));
    }

    @Operation(nonParallelGroup = "agent")
    public String takeCounters() {
      return String.valueOf(mailbox.takeCounters());
    }

    @Operation
    public void notifyAssignment() {
      mailbox.notifyAssignment();
    }

    @Operation(nonParallelGroup = "agent")
    public boolean takeNotice() {
      return mailbox.takeAssignmentNotice();
    }

    @Operation
    public void leave() {
      mailbox.requestLeave();
    }

    @Operation
    public boolean leaveRequested() {
      return mailbox.leaveRequested();
    }
  }

  /** A faulty mailbox: it reads the counters and then clears them, which loses any in between. */
  public static class ReadThenClear {
    private volatile SortedMap<String, Long> delivered;

    @Operation(nonParallelGroup = "loop")
    public void transferCounters(long scans) {
      delivered = counters(scans);
    }

    @Operation(nonParallelGroup = "agent")
    public String takeCounters() {
      SortedMap<String, Long> taken = delivered;
      delivered = null;
      return String.valueOf(taken);
    }
  }

  private static ModelCheckingOptions options() {
    return new ModelCheckingOptions()
        .threads(2)
        .actorsPerThread(3)
        .actorsBefore(0)
        .actorsAfter(1)
        .iterations(30)
        .invocationsPerIteration(1000)
        .minimizeFailedScenario(false);
  }

  /** Guards against lost or doubled messages when threads use the mailbox concurrently. */
  @Test
  void mailboxIsLinearizable() {
    assertThatCode(() -> options().check(Real.class)).doesNotThrowAnyException();
  }

  /** Guards against a check that finds nothing: it must detect a mailbox that loses counters. */
  @Test
  void readThenClearIsDetected() {
    assertThatThrownBy(() -> options().check(ReadThenClear.class))
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining("Invalid execution results");
  }
}
