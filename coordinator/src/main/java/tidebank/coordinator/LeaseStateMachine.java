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
 * The lease table behind the replicated log. The leader stamps each command with its term and clock
 * before it goes into the log; all replicas apply what the log says, in its order. A stamp of
 * another term than the one the command came into the log in is no time at all, and the command has
 * no effect. Table and audit log are guarded by this object's monitor.
 */
final class LeaseStateMachine extends BaseStateMachine {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseStateMachine.class);

  /** Is notified on the library's threads, and has to return quickly. */
  interface Listener {
    /** This replica leads and knows all that was decided before. */
    void leadershipAcquired();

    /** The state may have changed. */
    void commandApplied();

    /** The log cannot be written any more. */
    void logFailed(Throwable cause);
  }

  /** An entry of the log. */
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

  /** A read request for the audit log of all tasks; any other is for the state. */
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
    restore();
  }

  @Override
  public void reinitialize() throws IOException {
    restore();
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
      bytes = SnapshotFormat.encode(new SnapshotContent(table.state(), auditLog.all()));
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
      LogRecord logged =
          LeaseCodec.read(
              entry.getStateMachineLogEntry().getLogData().toByteArray(), LogRecord.class);
      CommandResult result = apply(entry, logged);
      listener.commandApplied();
      return completed(result);
    } catch (IOException | RuntimeException exception) {
      // The same on every replica, as the log is; the command has no effect.
      LOG.error(
          "could not apply log entry: term={}, index={}",
          entry.getTerm(),
          entry.getIndex(),
          exception);
      updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
      return CompletableFuture.failedFuture(exception);
    }
  }

  private synchronized CommandResult apply(LogEntryProto entry, LogRecord logged) {
    CommandResult result =
        logged.term() == entry.getTerm()
            ? table.apply(entry.getTerm(), logged.leaderClock(), logged.command())
            : leaderChanged(logged.term(), entry.getTerm());
    LeaseTableState before = lastApplied;
    lastApplied = table.state();
    auditLog.recordChanges(before, lastApplied, logged.timestampMs());
    updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
    return result;
  }

  private static CommandResult leaderChanged(long stampedTerm, long loggedTerm) {
    return new CommandResult(
        new CoordinatorException.LeaderChanged(stampedTerm, loggedTerm).details(),
        null,
        null,
        null,
        0);
  }

  // ---- reads

  /** Returns the audit log, or the state at the leader's current time. */
  @Override
  public CompletableFuture<Message> query(Message request) {
    if (request.getContent().equals(READ_AUDIT_LOG)) {
      synchronized (this) {
        return completed(auditLog.all());
      }
    }
    LeaseTableState state = lastApplied;
    try {
      return completed(currentTerm() == state.term() ? state.asOf(clockUs()) : state);
    } catch (IOException exception) {
      return CompletableFuture.failedFuture(exception);
    }
  }

  private static CompletableFuture<Message> completed(Object reply) {
    return CompletableFuture.completedFuture(
        Message.valueOf(ByteString.copyFrom(LeaseCodec.write(reply))));
  }

  private long currentTerm() throws IOException {
    return getServer().join().getDivision(getGroupId()).getInfo().getCurrentTerm();
  }

  private static long clockUs() {
    return System.nanoTime() / 1000;
  }

  /** Returns the state as last applied here, however old. */
  LeaseTableState lastAppliedState() {
    return lastApplied;
  }

  // ---- the library's notifications

  @Override
  public void notifyLeaderReady() {
    listener.leadershipAcquired();
  }

  /** The library closes its log after this and takes part in nothing any more. */
  @Override
  public void notifyLogFailed(Throwable cause, LogEntryProto entry) {
    listener.logFailed(cause);
  }
}
