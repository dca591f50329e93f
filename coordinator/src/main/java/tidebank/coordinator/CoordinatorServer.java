package tidebank.coordinator;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyConfigKeys;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.DivisionInfo;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseTable;

/** One steward: its share of the replicated log, and HTTP in front of it. */
public final class CoordinatorServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CoordinatorServer.class);
  private static final RaftGroupId GROUP =
      RaftGroupId.valueOf(UUID.nameUUIDFromBytes("tidebank".getBytes(StandardCharsets.UTF_8)));
  private static final byte[] NOTHING = "[]".getBytes(StandardCharsets.US_ASCII);
  private static final int SEGMENT = 1 << 20;
  private static final int REQUEST_BYTES = 1 << 16;

  private final CoordinatorConfig file;
  private final RaftServer server;
  private final LeaseStateMachine machine;
  private final HttpServer http;
  private final ClientId client = ClientId.randomId();
  private final AtomicLong calls = new AtomicLong();

  /** As many as there are connections at most: one that waits asks nothing else. */
  private final Set<Waiter> waiters = ConcurrentHashMap.newKeySet();

  private final CompletableFuture<TidebankException> ended = new CompletableFuture<>();

  private CoordinatorServer(CoordinatorConfig file) throws IOException {
    this.file = file;
    machine = new LeaseStateMachine(file.terms(), this::plan, this::changed, this::broken);
    List<RaftPeer> peers =
        file.peers().stream()
            .map(peer -> RaftPeer.newBuilder().setId(peer.name()).setAddress(peer.raft()).build())
            .toList();
    server =
        RaftServer.newBuilder()
            .setServerId(RaftPeerId.valueOf(file.name()))
            .setStateMachine(machine)
            .setGroup(RaftGroup.valueOf(GROUP, peers))
            .setOption(RaftStorage.StartupOption.RECOVER)
            .setProperties(properties(file))
            .build();
    http = new HttpServer(this, file.listen().http());
  }

  private static RaftProperties properties(CoordinatorConfig file) {
    RaftProperties properties = new RaftProperties();
    TimeDuration election = TimeDuration.valueOf(file.electionUs(), TimeUnit.MICROSECONDS);
    TimeDuration twice = TimeDuration.valueOf(2 * file.electionUs(), TimeUnit.MICROSECONDS);
    RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.NETTY);
    NettyConfigKeys.Server.setHost(properties, file.listen().raft().getHostString());
    NettyConfigKeys.Server.setPort(properties, file.listen().raft().getPort());
    RaftServerConfigKeys.setStorageDir(properties, List.of(file.folder().toFile()));
    RaftServerConfigKeys.Rpc.setTimeoutMin(properties, election);
    RaftServerConfigKeys.Rpc.setTimeoutMax(properties, twice);
    RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(properties, election);
    RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, twice);
    // A read is answered by a leader that has just heard from most: one that was stopped and woken
    // does not pass for one.
    RaftServerConfigKeys.Read.setOption(properties, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
    RaftServerConfigKeys.Read.setTimeout(
        properties, TimeDuration.valueOf(4 * file.electionUs(), TimeUnit.MICROSECONDS));
    RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
    RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, file.snapshotEvery());
    RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
    RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
    RaftServerConfigKeys.Log.Appender.setBufferByteLimit(
        properties, SizeInBytes.valueOf(REQUEST_BYTES));
    RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(SEGMENT));
    RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf(REQUEST_BYTES));
    RaftServerConfigKeys.Log.setWriteBufferSize(properties, SizeInBytes.valueOf(2 * REQUEST_BYTES));
    return properties;
  }

  /** Starts one; when this returns it listens. It may serve once most of the stewards run. */
  public static CoordinatorServer start(CoordinatorConfig file) throws IOException {
    try {
      Files.createDirectories(file.folder());
      Files.delete(Files.createTempFile(file.folder(), "write", ".try"));
    } catch (IOException fault) {
      throw new TidebankException.DataDirectoryUnusable(file.folder().toString(), fault.toString());
    }
    CoordinatorServer steward = new CoordinatorServer(file);
    try {
      steward.http.listen();
      steward.server.start();
    } catch (IOException | RuntimeException fault) {
      steward.close();
      throw named(file, fault);
    }
    LOG.info(
        "steward "
            + file.name()
            + " listens on "
            + file.listen().http()
            + ", one of "
            + file.peers().size());
    return steward;
  }

  /** What kept it from starting, as a condition of its own where it is a known one. */
  private static IOException named(CoordinatorConfig file, Exception fault) {
    for (Throwable cause = fault; cause != null; cause = cause.getCause()) {
      if (cause instanceof TidebankException known) {
        return known;
      }
      if (cause instanceof BindException) {
        return new TidebankException.AddressTaken(
            file.listen().raft().toString(), cause.getMessage());
      }
      if (cause instanceof OverlappingFileLockException
          || String.valueOf(cause.getMessage()).contains("lock")) {
        return new TidebankException.DataDirectoryUnusable(
            file.folder().toString(), String.valueOf(cause.getMessage()));
      }
    }
    return fault instanceof IOException io ? io : new IOException(fault);
  }

  // ---- calls

  /**
   * Has a command decided by most of the stewards; the answer's JSON, or a {@link
   * TidebankException}.
   */
  CompletableFuture<byte[]> command(LeaseCommand command) {
    return submit(RaftClientRequest.writeRequestType(), LeaseCodec.write(command));
  }

  /** The state as most of the stewards know it, as JSON. */
  CompletableFuture<byte[]> state() {
    return submit(RaftClientRequest.readRequestType(), new byte[0]);
  }

  /** A member that waits for a duty to claim. */
  private record Waiter(String name, CompletableFuture<byte[]> answer) {}

  /**
   * Duties that are meant for a member and that nobody has, as a list; told as soon as there is
   * one, or when the wait is over.
   */
  CompletableFuture<byte[]> wanted(String name, long waitMs) {
    try {
      if (!server.getDivision(GROUP).getInfo().isLeader()) {
        return CompletableFuture.failedFuture(
            new TidebankException.NotLeading(file.name(), leader()));
      }
    } catch (IOException fault) {
      return CompletableFuture.failedFuture(new TidebankException.NoMajority(fault.toString()));
    }
    Waiter waiter =
        new Waiter(
            name,
            new CompletableFuture<byte[]>()
                .completeOnTimeout(NOTHING, waitMs, TimeUnit.MILLISECONDS));
    waiters.add(waiter);
    waiter.answer().whenComplete((done, fault) -> waiters.remove(waiter));
    // After it is known to the next change, so that none falls in between.
    changed();
    return waiter.answer();
  }

  private void changed() {
    if (waiters.isEmpty()) {
      return;
    }
    Map<String, List<String>> free = machine.seen().unclaimed();
    for (Waiter waiter : free.isEmpty() ? List.<Waiter>of() : List.copyOf(waiters)) {
      List<String> duties = free.get(waiter.name());
      if (duties != null) {
        waiter.answer().complete(LeaseCodec.write(duties));
      }
    }
  }

  /** What became of each duty, as most of the stewards know it, as JSON. */
  CompletableFuture<byte[]> history() {
    return submit(RaftClientRequest.readRequestType(), LeaseStateMachine.HISTORY.toByteArray());
  }

  private CompletableFuture<byte[]> submit(RaftClientRequest.Type type, byte[] body) {
    if (ended.isDone()) {
      return CompletableFuture.failedFuture(ended.join());
    }
    try {
      DivisionInfo info = server.getDivision(GROUP).getInfo();
      if (!info.isLeader()) {
        return CompletableFuture.failedFuture(
            new TidebankException.NotLeading(file.name(), leader()));
      }
      RaftClientRequest request =
          RaftClientRequest.newBuilder()
              .setClientId(client)
              .setServerId(server.getId())
              .setGroupId(GROUP)
              .setCallId(calls.incrementAndGet())
              .setType(type)
              .setMessage(Message.valueOf(ByteString.copyFrom(body)))
              .build();
      return server
          .submitClientRequestAsync(request)
          .orTimeout(8 * file.electionUs(), TimeUnit.MICROSECONDS)
          .handle(this::answered)
          .thenCompose(answer -> answer);
    } catch (IOException fault) {
      return CompletableFuture.failedFuture(new TidebankException.NoMajority(fault.toString()));
    }
  }

  private CompletableFuture<byte[]> answered(RaftClientReply reply, Throwable fault) {
    if (fault != null) {
      return CompletableFuture.failedFuture(
          new TidebankException.NoMajority(String.valueOf(fault)));
    }
    if (!reply.isSuccess()) {
      return CompletableFuture.failedFuture(
          reply.getNotLeaderException() != null
              ? new TidebankException.NotLeading(file.name(), leader())
              : new TidebankException.NoMajority(String.valueOf(reply.getException())));
    }
    return CompletableFuture.completedFuture(reply.getMessage().getContent().toByteArray());
  }

  /** Name and address of the leader, as far as is known here. */
  String leader() {
    try {
      RaftPeerId leader = server.getDivision(GROUP).getInfo().getLeaderId();
      return file.peers().stream()
          .filter(peer -> leader != null && peer.name().equals(leader.toString()))
          .findFirst()
          .map(peer -> peer.name() + " at " + text(peer.http()))
          .orElse("");
    } catch (IOException fault) {
      return "";
    }
  }

  /** The address alone, for calls that go there. */
  String leaderAddress() {
    String leader = leader();
    return leader.isEmpty() ? "" : leader.substring(leader.indexOf(" at ") + 4);
  }

  static String text(InetSocketAddress address) {
    return address.getHostString() + ':' + address.getPort();
  }

  /** Whether a leader is known, be it this one or another. */
  boolean ready() {
    return !leader().isEmpty();
  }

  /** Leading: where this file says other than what holds, its terms and duties hold from now on. */
  private void plan() {
    LeaseCommand.Plan wanted =
        new LeaseCommand.Plan(file.terms(), file.duties().stream().sorted().toList());
    LeaseTable.State now = machine.seen();
    LOG.info("steward " + file.name() + " leads");
    if (!now.config().equals(wanted.config())
        || !now.tasks().stream().map(LeaseTable.TaskLease::task).toList().equals(wanted.tasks())) {
      plan(
          new LeaseCommand(
              LeaseCommand.Kind.PLAN,
              "plan of " + file.name() + " " + UUID.randomUUID(),
              1,
              "",
              "",
              0,
              0,
              "",
              wanted));
    }
  }

  /** Until it has taken hold, or another one leads, whose file counts then. */
  private void plan(LeaseCommand command) {
    command(command)
        .whenComplete(
            (done, fault) -> {
              if (fault != null
                  && !(HttpServer.fault(fault) instanceof TidebankException.NotLeading)) {
                LOG.warn(
                    "the plan of "
                        + file.name()
                        + " has not taken hold yet: "
                        + fault.getMessage());
                CompletableFuture.delayedExecutor(file.electionUs(), TimeUnit.MICROSECONDS)
                    .execute(() -> plan(command));
              }
            });
  }

  /**
   * Its log can't be written: it takes part in nothing any more, and whoever started it is to end
   * it and say so.
   */
  private void broken(Throwable cause) {
    Throwable root = cause;
    while (root.getCause() != null) {
      root = root.getCause();
    }
    TidebankException fault =
        new TidebankException.DataDirectoryUnusable(
            file.folder().toString(), "its log can't be written: " + root);
    if (ended.complete(fault)) {
      LOG.error(fault.details().lines().replace('\n', ' '));
    }
  }

  /** Done once it can't go on, with why. */
  public CompletableFuture<TidebankException> ended() {
    return ended;
  }

  @Override
  public void close() {
    http.close();
    try {
      server.close();
    } catch (IOException fault) {
      LOG.warn("the log did not close: " + fault.getMessage());
    }
  }
}
