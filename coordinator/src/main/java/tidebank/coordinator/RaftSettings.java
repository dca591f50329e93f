package tidebank.coordinator;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyConfigKeys;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/** Builds the Raft library's properties for a coordinator. */
final class RaftSettings {
  private static final int SEGMENT_BYTES = 1 << 20;
  private static final int MAX_REQUEST_BYTES = 1 << 16;
  private static final int SNAPSHOTS_RETAINED = 2;

  /**
   * Timeout of a read, which waits until the leader has heard from a majority, in election
   * timeouts.
   */
  private static final int READ_TIMEOUT_ELECTIONS = 4;

  private RaftSettings() {}

  static RaftProperties of(CoordinatorConfig config) {
    RaftProperties properties = new RaftProperties();
    setTransport(properties, config);
    setElections(properties, config);
    setSnapshots(properties, config);
    setLog(properties, config);
    return properties;
  }

  private static void setTransport(RaftProperties properties, CoordinatorConfig config) {
    RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.NETTY);
    NettyConfigKeys.Server.setHost(properties, config.listen().raft().getHostString());
    NettyConfigKeys.Server.setPort(properties, config.listen().raft().getPort());
  }

  private static void setElections(RaftProperties properties, CoordinatorConfig config) {
    TimeDuration shortest = electionTimeouts(config, 1);
    TimeDuration longest = electionTimeouts(config, 2);
    RaftServerConfigKeys.Rpc.setTimeoutMin(properties, shortest);
    RaftServerConfigKeys.Rpc.setTimeoutMax(properties, longest);
    RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(properties, shortest);
    RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, longest);
    // Linearizable: a leader answers a read only after hearing from a majority. A former leader
    // that was suspended and resumed therefore cannot answer from outdated state.
    RaftServerConfigKeys.Read.setOption(properties, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
    RaftServerConfigKeys.Read.setTimeout(
        properties, electionTimeouts(config, READ_TIMEOUT_ELECTIONS));
  }

  private static TimeDuration electionTimeouts(CoordinatorConfig config, int count) {
    return TimeDuration.valueOf(count * config.electionTimeoutUs(), TimeUnit.MICROSECONDS);
  }

  private static void setSnapshots(RaftProperties properties, CoordinatorConfig config) {
    RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
    RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, config.commandsPerSnapshot());
    RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, SNAPSHOTS_RETAINED);
    RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
  }

  private static void setLog(RaftProperties properties, CoordinatorConfig config) {
    RaftServerConfigKeys.setStorageDir(properties, List.of(config.dataDirectory().toFile()));
    RaftServerConfigKeys.Log.Appender.setBufferByteLimit(
        properties, SizeInBytes.valueOf(MAX_REQUEST_BYTES));
    RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(SEGMENT_BYTES));
    RaftServerConfigKeys.Log.setPreallocatedSize(
        properties, SizeInBytes.valueOf(MAX_REQUEST_BYTES));
    RaftServerConfigKeys.Log.setWriteBufferSize(
        properties, SizeInBytes.valueOf(2 * MAX_REQUEST_BYTES));
  }
}
