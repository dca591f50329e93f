package tidebank.coordinator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.SizeInBytes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tidebank.errors.CoordinatorException;
import tidebank.errors.StorageException;

/**
 * The life cycle of a replica and its state machine, as the Raft library expects it: paused while a
 * snapshot is installed, running after it, closed only at the end.
 */
@Timeout(60)
class ReplicaLifeCycleTest {
  private static final String SNAPSHOT = "snapshot.1_7";

  /** A replica that has closed has to be noticed within some election timeouts of 500 ms. */
  private static final long NOTICED_WITHIN_S = 10;

  @TempDir private Path folder;
  private CoordinatorConfig config;
  private LeaseStateMachine stateMachine;
  private RaftStorage storage;

  @BeforeEach
  void start() throws Exception {
    Path file = folder.resolve("coordinator.toml");
    Files.writeString(
        file,
        "name = \"s0\"\nfolder = \""
            + folder.resolve("data")
            + "\"\n[[peers]]\nname = \"s0\"\nraft = \""
            + freeAddress()
            + "\"\nhttp = \""
            + freeAddress()
            + "\"\n");
    config = CoordinatorConfig.read(file);
    stateMachine = newStateMachine();
    storage =
        RaftStorage.newBuilder()
            .setDirectory(folder.resolve("storage").toFile())
            .setOption(RaftStorage.StartupOption.FORMAT)
            .setStorageFreeSpaceMin(SizeInBytes.valueOf(0))
            .build();
    storage.initialize();
  }

  @AfterEach
  void close() throws Exception {
    storage.close();
  }

  private static String freeAddress() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private LeaseStateMachine newStateMachine() {
    return new LeaseStateMachine(
        config.leaseConfig(),
        new LeaseStateMachine.Listener() {
          @Override
          public void leadershipAcquired() {}

          @Override
          public void commandApplied() {}

          @Override
          public void logFailed(Throwable cause) {}
        });
  }

  private void initialize() throws Exception {
    RaftServer server =
        (RaftServer)
            Proxy.newProxyInstance(
                RaftServer.class.getClassLoader(),
                new Class<?>[] {RaftServer.class},
                (proxy, method, arguments) ->
                    method.getName().equals("getId") ? RaftPeerId.valueOf("s0") : null);
    stateMachine.initialize(server, RaftGroupId.randomId(), storage);
  }

  /** Stores a snapshot of the empty state, as the Raft library does with one that it received. */
  private Path storeSnapshot() throws Exception {
    byte[] bytes =
        SnapshotFormat.encode(
            new LeaseStateMachine.SnapshotContent(stateMachine.lastAppliedState(), Map.of()));
    Path directory = storage.getStorageDir().getStateMachineDir().toPath();
    Files.createDirectories(directory);
    Path received = Files.write(folder.resolve("received"), bytes);
    return Files.move(received, directory.resolve(SNAPSHOT), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Guards against a state machine that the library takes for one that still applies entries. */
  @Test
  void pausesForASnapshotAndRunsAgainWithIt() throws Exception {
    initialize();
    assertThat(stateMachine.getLifeCycleState()).isEqualTo(LifeCycle.State.RUNNING);
    // Once for each part of the snapshot.
    stateMachine.pause();
    stateMachine.pause();
    assertThat(stateMachine.getLifeCycleState()).isEqualTo(LifeCycle.State.PAUSED);
    storeSnapshot();
    stateMachine.reinitialize();
    assertThat(stateMachine.getLifeCycleState()).isEqualTo(LifeCycle.State.RUNNING);
    assertThat(stateMachine.getLastAppliedTermIndex().getIndex()).isEqualTo(7);
    assertThat(stateMachine.getLatestSnapshot().getIndex()).isEqualTo(7);
    // A second snapshot may follow, and the machine closes from any state.
    stateMachine.pause();
    assertThat(stateMachine.getLifeCycleState()).isEqualTo(LifeCycle.State.PAUSED);
    stateMachine.close();
    assertThat(stateMachine.getLifeCycleState()).isEqualTo(LifeCycle.State.CLOSED);
  }

  /** Guards against a state machine that runs on without the snapshot that it should have. */
  @Test
  void damagedSnapshotIsAnError() throws Exception {
    initialize();
    stateMachine.pause();
    Path snapshot = storeSnapshot();
    byte[] bytes = Files.readAllBytes(snapshot);
    Files.write(snapshot, Arrays.copyOf(bytes, bytes.length - 1));
    assertThatThrownBy(stateMachine::reinitialize)
        .isInstanceOf(StorageException.CorruptSnapshot.class);
    assertThat(stateMachine.getLifeCycleState()).isNotEqualTo(LifeCycle.State.RUNNING);
  }

  /** Guards against a process that runs on, and seems sound, after its replica has closed. */
  @Test
  void replicaThatTheLibraryHasClosedIsAFailure() throws Exception {
    try (RaftReplica replica = new RaftReplica(config, newStateMachine())) {
      replica.start();
      assertThat(replica.failure()).isNotDone();
      divisions(replica).forEach(ReplicaLifeCycleTest::closeQuietly);
      assertThat(replica.failure().get(NOTICED_WITHIN_S, TimeUnit.SECONDS))
          .isInstanceOf(CoordinatorException.ReplicaClosed.class);
      assertThat(replica.read(new byte[0])).isCompletedExceptionally();
    }
  }

  /** Guards against an error at a normal end. */
  @Test
  void closingIsNoFailure() throws Exception {
    RaftReplica replica = new RaftReplica(config, newStateMachine());
    replica.start();
    replica.close();
    assertThat(replica.failure()).isNotDone();
  }

  private static Stream<RaftServer.Division> divisions(RaftReplica replica) throws Exception {
    Field field = RaftReplica.class.getDeclaredField("server");
    field.setAccessible(true);
    RaftServer server = (RaftServer) field.get(replica);
    List<RaftGroupId> groups = new ArrayList<>();
    server.getGroupIds().forEach(groups::add);
    return groups.stream().map(group -> division(server, group));
  }

  private static RaftServer.Division division(RaftServer server, RaftGroupId group) {
    try {
      return server.getDivision(group);
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }

  private static void closeQuietly(Closeable closeable) {
    try {
      closeable.close();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }
}
