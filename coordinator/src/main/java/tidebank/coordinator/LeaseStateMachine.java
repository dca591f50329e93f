package tidebank.coordinator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
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
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTable;

/**
 * The rules of leases behind the replicated log. The leader stamps each command with its term and
 * clock before it goes into the log; all stewards apply what the log says, in its order. A stamp of
 * another term than the one the command came into the log in is no time at all, and the command has
 * no effect.
 */
final class LeaseStateMachine extends BaseStateMachine {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseStateMachine.class);

  /** Snapshots begin with their version and a check of what follows. */
  private static final int VERSION = 2;

  /** Held the state of the rules alone. */
  private static final int WITHOUT_HISTORY = 1;

  private static final int HEAD = Integer.BYTES + Long.BYTES;

  /** What stands in the log. */
  @JsonPropertyOrder({"term", "at", "wallMs", "command"})
  record LogRecord(
      long term,
      @JsonProperty("at") long leaderClock,
      @JsonProperty("wallMs") long timestampMs,
      LeaseCommand command) {}

  /** What stands in a snapshot. */
  @JsonPropertyOrder({"state", "history"})
  record SnapshotContent(
      LeaseTable.State state,
      @JsonProperty("history") Map<String, List<CoordinatorClient.AuditEntry>> auditLog) {}

  /** A query for the history of all duties; any other is for the state. */
  static final ByteString HISTORY = ByteString.copyFromUtf8("history");

  private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
  private final LeaseConfig terms;
  private final Runnable leading;
  private final Runnable changed;
  private final Consumer<Throwable> broken;
  private LeaseTable book;
  private LeaseAuditLog history = new LeaseAuditLog(Map.of());
  private volatile LeaseTable.State seen;

  /**
   * @param leading run, briefly, once this steward leads and knows all that was decided before
   * @param changed run, briefly, after each command
   * @param broken hears why the log can't be written any more
   */
  LeaseStateMachine(
      LeaseConfig terms, Runnable leading, Runnable changed, Consumer<Throwable> broken) {
    this.changed = changed;
    this.terms = terms;
    this.leading = leading;
    this.broken = broken;
    book = new LeaseTable(terms);
    seen = book.state();
  }

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
    File file = snapshot.getFile().getPath().toFile();
    byte[] bytes = Files.readAllBytes(file.toPath());
    SnapshotContent kept = unpacked(file.getName(), bytes);
    book = new LeaseTable(kept.state());
    history = new LeaseAuditLog(kept.auditLog());
    seen = book.state();
    setLastAppliedTermIndex(snapshot.getTermIndex());
    LOG.info(
        "restored "
            + file.getName()
            + ": "
            + seen.members().size()
            + " members, "
            + seen.tasks().size()
            + " duties");
  }

  /** The state of a snapshot, or the fault that says why there is none. */
  static SnapshotContent unpacked(String name, byte[] bytes)
      throws TidebankException.CorruptSnapshot {
    if (bytes.length < HEAD) {
      throw new TidebankException.CorruptSnapshot(name, "it is " + bytes.length + " bytes short");
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    int version = buffer.getInt();
    if (version != VERSION && version != WITHOUT_HISTORY) {
      throw new TidebankException.CorruptSnapshot(
          name, "its version is " + version + ", not " + VERSION);
    }
    if (buffer.getLong() != check(bytes, HEAD)) {
      throw new TidebankException.CorruptSnapshot(name, "its check does not fit its content");
    }
    try {
      byte[] json = Arrays.copyOfRange(bytes, HEAD, bytes.length);
      return version == VERSION
          ? LeaseCodec.read(json, SnapshotContent.class)
          : new SnapshotContent(LeaseCodec.read(json, LeaseTable.State.class), Map.of());
    } catch (IOException fault) {
      throw new TidebankException.CorruptSnapshot(name, fault.getMessage());
    }
  }

  static byte[] packed(SnapshotContent kept) {
    byte[] json = LeaseCodec.write(kept);
    ByteBuffer buffer =
        ByteBuffer.allocate(HEAD + json.length).putInt(VERSION).putLong(check(json, 0)).put(json);
    return buffer.array();
  }

  private static long check(byte[] bytes, int from) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, bytes.length - from);
    return crc.getValue();
  }

  /** Written beside, forced, then put in place: a snapshot is there whole or not at all. */
  @Override
  public long takeSnapshot() throws IOException {
    TermIndex last;
    byte[] bytes;
    synchronized (this) {
      last = getLastAppliedTermIndex();
      bytes = packed(new SnapshotContent(book.state(), history.all()));
    }
    File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
    File beside = new File(file.getParentFile(), file.getName() + ".part");
    try (FileChannel channel =
        FileChannel.open(
            beside.toPath(),
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
      channel.force(true);
    }
    Files.move(
        beside.toPath(),
        file.toPath(),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
    MD5Hash hash = MD5FileUtil.computeAndSaveMd5ForFile(file);
    storage.updateLatestSnapshot(
        new SingleFileSnapshotInfo(new FileInfo(file.toPath(), hash), last));
    return last.getIndex();
  }

  @Override
  public StateMachineStorage getStateMachineStorage() {
    return storage;
  }

  @Override
  public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
    long term = getServer().join().getDivision(getGroupId()).getInfo().getCurrentTerm();
    LeaseCommand command =
        LeaseCodec.read(request.getMessage().getContent().toByteArray(), LeaseCommand.class);
    byte[] stamped =
        LeaseCodec.write(new LogRecord(term, clock(), System.currentTimeMillis(), command));
    return TransactionContext.newBuilder()
        .setServerRole(RaftPeerRole.LEADER)
        .setStateMachine(this)
        .setClientRequest(request)
        .setLogData(UnsafeByteOperations.unsafeWrap(stamped))
        .build();
  }

  @Override
  public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
    LogEntryProto entry = transaction.getLogEntry();
    try {
      LogRecord stamped =
          LeaseCodec.read(
              entry.getStateMachineLogEntry().getLogData().toByteArray(), LogRecord.class);
      CommandResult answer;
      synchronized (this) {
        answer =
            stamped.term() == entry.getTerm()
                ? book.apply(entry.getTerm(), stamped.leaderClock(), stamped.command())
                : new CommandResult(
                    new TidebankException.LeaderChanged(stamped.term(), entry.getTerm()).details(),
                    null,
                    null,
                    null,
                    0);
        history.applied(seen, book.state(), stamped.timestampMs());
        seen = book.state();
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
      }
      changed.run();
      return CompletableFuture.completedFuture(
          Message.valueOf(ByteString.copyFrom(LeaseCodec.write(answer))));
    } catch (IOException | RuntimeException fault) {
      // The same on every steward, as the log is; the command has no effect.
      LOG.error(
          "entry " + entry.getTerm() + ":" + entry.getIndex() + " of the log can't be applied",
          fault);
      updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
      return CompletableFuture.failedFuture(fault);
    }
  }

  /**
   * The state, for calls that the library found to come to the leader, by whose clock they are told
   * how late it is.
   */
  @Override
  public CompletableFuture<Message> query(Message request) {
    if (request.getContent().equals(HISTORY)) {
      synchronized (this) {
        return CompletableFuture.completedFuture(
            Message.valueOf(ByteString.copyFrom(LeaseCodec.write(history.all()))));
      }
    }
    LeaseTable.State now = seen;
    try {
      long term = getServer().join().getDivision(getGroupId()).getInfo().getCurrentTerm();
      now = term == now.term() ? now.asOf(clock()) : now;
    } catch (IOException fault) {
      return CompletableFuture.failedFuture(fault);
    }
    return CompletableFuture.completedFuture(
        Message.valueOf(ByteString.copyFrom(LeaseCodec.write(now))));
  }

  private static long clock() {
    return System.nanoTime() / 1000;
  }

  /** The state as last applied here, however old. */
  LeaseTable.State seen() {
    return seen;
  }

  @Override
  public void notifyLeaderReady() {
    leading.run();
  }

  /** The library closes its log after this and takes part in nothing any more. */
  @Override
  public void notifyLogFailed(Throwable cause, LogEntryProto entry) {
    broken.accept(cause);
  }
}
