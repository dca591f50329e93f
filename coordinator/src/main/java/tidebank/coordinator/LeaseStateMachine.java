package tidebank.coordinator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.RaftPeerRole;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.CoordinatorException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTable;
import tidebank.lease.LeaseTableState;

/**
 * The state machine that applies the replicated log to the lease table. The leader stamps each
 * command with its term and clock before appending it; all replicas apply the entries in log order.
 * A command that was stamped in one term and appended in another has no effect, since clocks of
 * different leaders cannot be compared. The table and the audit log are guarded by this object's
 * monitor.
 */
final class LeaseStateMachine extends BaseStateMachine {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseStateMachine.class);

  /** Receives notifications on the Raft library's threads; implementations must not block. */
  interface Listener {
    /** Called when this replica leads and has applied all entries committed before. */
    void leadershipAcquired();

    /** Called after an entry was applied; the state may have changed. */
    void commandApplied();

    /** Called when the log can no longer be written. */
    void logFailed(Throwable cause);
  }

  /**
   * An entry of the replicated log.
   *
   * @param term the term in which the leader stamped the command
   * @param leaderClock the leader's monotonic clock, in microseconds
   * @param timestampMs the leader's wall clock, in milliseconds since 1970
   */
  @JsonPropertyOrder({"term", "at", "wallMs", "command"})
  record LogRecord(
      long term,
      @JsonProperty("at") long leaderClock,
      @JsonProperty("wallMs") long timestampMs,
      LeaseCommand command) {}

  /** The content of a snapshot. */
  @JsonPropertyOrder({"state", "history"})
  record SnapshotContent(
      LeaseTableState state,
      @JsonProperty("history") Map<String, List<CoordinatorClient.AuditEntry>> auditLog) {}

  /** The read request for the audit log of all tasks; any other content reads the state. */
  static final ByteString READ_AUDIT_LOG = ByteString.copyFromUtf8("history");

  private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
  private final Listener listener;
  private LeaseTable table;
  private LeaseAuditLog auditLog = new LeaseAuditLog(Map.of());
  private volatile LeaseTableState lastApplied;

  LeaseStateMachine(LeaseConfig config, Listener listener) {
    this.listener = listener;
    table = new LeaseTable(config);
    lastApplied = table.state();
  }

  // ---- snapshots

  @Override
  public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage)
      throws IOException {
    super.initialize(server, group, raftStorage);
    storage.init(raftStorage);
    getLifeCycle().startAndTransition(this::restore, IOException.class);
  }

  /**
   * Stops applying entries until {@link #reinitialize}, while the Raft library replaces the
   * snapshot. It is called once for each part of a snapshot.
   */
  @Override
  public synchronized void pause() {
    if (getLifeCycleState() == LifeCycle.State.RUNNING) {
      getLifeCycle().transition(LifeCycle.State.PAUSING);
      getLifeCycle().transition(LifeCycle.State.PAUSED);
    }
  }

  /** Restores the snapshot that the Raft library has installed, and runs again. */
  @Override
  public void reinitialize() throws IOException {
    getLifeCycle().startAndTransition(this::restore, IOException.class);
  }

  @Override
  public void close() throws IOException {
    getLifeCycle().checkStateAndClose(super::close);
  }

  private synchronized void restore() throws IOException {
    SingleFileSnapshotInfo snapshot = storage.loadLatestSnapshot();
    if (snapshot == null) {
      return;
    }
    Path file = snapshot.getFile().getPath();
    String name = file.getFileName().toString();
    SnapshotContent content = SnapshotFormat.decode(name, Files.readAllBytes(file));
    table = new LeaseTable(content.state());
    auditLog = new LeaseAuditLog(content.auditLog());
    lastApplied = table.state();
    setLastAppliedTermIndex(snapshot.getTermIndex());
    LOG.info(
        "restored snapshot: file={}, members={}, tasks={}",
        name,
        lastApplied.members().size(),
        lastApplied.tasks().size());
  }

  @Override
  public long takeSnapshot() throws IOException {
    TermIndex last;
    byte[] bytes;
    synchronized (this) {
      last = getLastAppliedTermIndex();
      bytes = SnapshotFormat.encode(new SnapshotContent(table.state(), auditLog.entriesByTask()));
    }
    Path file = storage.getSnapshotFile(last.getTerm(), last.getIndex()).toPath();
    SnapshotFormat.writeAtomically(file, bytes);
    MD5Hash hash = MD5FileUtil.computeAndSaveMd5ForFile(file.toFile());
    storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file, hash), last));
    return last.getIndex();
  }

  @Override
  public StateMachineStorage getStateMachineStorage() {
    return storage;
  }

  // ---- commands

  @Override
  public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
    LeaseCommand command =
        LeaseCodec.read(request.getMessage().getContent().toByteArray(), LeaseCommand.class);
    LogRecord entry = new LogRecord(currentTerm(), clockUs(), System.currentTimeMillis(), command);
    return TransactionContext.newBuilder()
        .setServerRole(RaftPeerRole.LEADER)
        .setStateMachine(this)
        .setClientRequest(request)
        .setLogData(UnsafeByteOperations.unsafeWrap(LeaseCodec.write(entry)))
        .build();
  }

  @Override
  public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
    LogEntryProto entry = transaction.getLogEntry();
    try {
      LogRecord logRecord =
          LeaseCodec.read(
              entry.getStateMachineLogEntry().getLogData().toByteArray(), LogRecord.class);
      CommandResult result = apply(entry, logRecord);
      listener.commandApplied();
      return completed(result);
    } catch (IOException | RuntimeException exception) {
      // All replicas apply the same entry and fail alike, so the command has no effect anywhere.
      LOG.error(
          "could not apply log entry: term={}, index={}",
          entry.getTerm(),
          entry.getIndex(),
          exception);
      updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
      return CompletableFuture.failedFuture(exception);
    }
  }

  private synchronized CommandResult apply(LogEntryProto entry, LogRecord logRecord) {
    CommandResult result =
        logRecord.term() == entry.getTerm()
            ? table.apply(entry.getTerm(), logRecord.leaderClock(), logRecord.command())
            : leaderChangedResult(logRecord.term(), entry.getTerm());
    LeaseTableState before = lastApplied;
    lastApplied = table.state();
    auditLog.recordChanges(before, lastApplied, logRecord.timestampMs());
    updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
    return result;
  }

  private static CommandResult leaderChangedResult(long stampedTerm, long loggedTerm) {
    return new CommandResult(
        new CoordinatorException.LeaderChanged(stampedTerm, loggedTerm).details(),
        null,
        null,
        null,
        0);
  }

  // ---- reads

  /**
   * Reads the audit log or the state. The state is given as of the leader's current time once a
   * command of its term has been applied, and otherwise as of the last command.
   */
  @Override
  public CompletableFuture<Message> query(Message request) {
    if (request.getContent().equals(READ_AUDIT_LOG)) {
      synchronized (this) {
        return completed(auditLog.entriesByTask());
      }
    }
    LeaseTableState state = lastApplied;
    try {
      return completed(currentTerm() == state.term() ? state.asOf(clockUs()) : state);
    } catch (IOException exception) {
      return CompletableFuture.failedFuture(exception);
    }
  }

  private static CompletableFuture<Message> completed(Object response) {
    return CompletableFuture.completedFuture(
        Message.valueOf(ByteString.copyFrom(LeaseCodec.write(response))));
  }

  private long currentTerm() throws IOException {
    return getServer().join().getDivision(getGroupId()).getInfo().getCurrentTerm();
  }

  private static long clockUs() {
    return System.nanoTime() / 1000;
  }

  /** Returns the state after the last entry that this replica applied, which may lag the leader. */
  LeaseTableState lastAppliedState() {
    return lastApplied;
  }

  // ---- notifications from the Raft library

  @Override
  public void notifyLeaderReady() {
    listener.leadershipAcquired();
  }

  /** Called before the Raft library closes its log and leaves the group. */
  @Override
  public void notifyLogFailed(Throwable cause, LogEntryProto entry) {
    listener.logFailed(cause);
  }
}
