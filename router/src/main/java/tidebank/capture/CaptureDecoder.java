package tidebank.capture;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.capture.CaptureFormat.ActionKind;
import tidebank.capture.CaptureFormat.EventKind;
import tidebank.capture.CaptureFormat.RecordKind;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;

/**
 * Decodes the records of one block. Skips unknown kinds and fields that a later version added at
 * the end of a frame. Does no I/O.
 */
final class CaptureDecoder {
  private static final int MAX_INITIAL_CAPACITY = 1024;

  private final BlockReader in;
  private long roundTimeUs;

  CaptureDecoder(byte[] block) {
    in = new BlockReader(block);
  }

  /**
   * Decodes all records of the block.
   *
   * @throws UnreadableCaptureException if the bytes are not valid capture records
   */
  List<CaptureRecord> readRecords() {
    List<CaptureRecord> records = new ArrayList<>();
    while (in.hasRemaining()) {
      int outerLimit = in.limit();
      int kind = in.readByte();
      int end = in.openFrame();
      CaptureRecord record = readRecord(kind);
      if (record != null) {
        records.add(record);
      }
      in.closeFrame(end, outerLimit);
    }
    return records;
  }

  private CaptureRecord readRecord(int kind) {
    return switch (kind) {
      case RecordKind.POLICY_STARTED -> readStarted();
      case RecordKind.DECISION_ROUND -> readRound();
      case RecordKind.ROUND_FAILED -> {
        roundTimeUs += in.readSignedVarint();
        yield new CaptureRecord.RoundFailed(roundTimeUs, readEvents(), in.readString());
      }
      case RecordKind.GAP -> new CaptureRecord.Gap(in.readVarint());
      default -> null;
    };
  }

  private CaptureRecord.PolicyStarted readStarted() {
    try {
      return new CaptureRecord.PolicyStarted(SettingsJson.read(in.readBytes()), in.readLong());
    } catch (IOException exception) {
      throw new UnreadableCaptureException(
          "settings that can't be read: " + exception.getMessage());
    }
  }

  private CaptureRecord.DecisionRound readRound() {
    roundTimeUs += in.readSignedVarint();
    List<Event> events = readEvents();
    int digest = (int) in.readLong();
    int count = in.readCount();
    return new CaptureRecord.DecisionRound(
        roundTimeUs, events, digest, count == 0 ? null : readActions(count - 1));
  }

  private List<Action> readActions(int count) {
    List<Action> actions = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Action action = readAction();
      if (action != null) {
        actions.add(action);
      }
    }
    return actions;
  }

  private List<Event> readEvents() {
    int count = in.readCount();
    List<Event> events = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
    for (int i = 0; i < count; i++) {
      Event event = readEvent();
      if (event != null) {
        events.add(event);
      }
    }
    return events;
  }

  private Event readEvent() {
    int outerLimit = in.limit();
    int kind = in.readByte();
    int end = in.openFrame();
    Event event =
        switch (kind) {
          case EventKind.ENDPOINT_LIST_RECEIVED -> readEndpointList();
          case EventKind.QUERY_RECEIVED -> readQuery(end);
          case EventKind.SHARD_REQUEST_RECEIVED ->
              new Event.ShardRequestReceived(
                  in.readString(),
                  in.readSignedVarint(),
                  (int) in.readSignedVarint(),
                  in.readDouble(),
                  in.readString());
          case EventKind.ATTEMPT_COMPLETED ->
              new Event.AttemptCompleted(
                  in.readString(),
                  (int) in.readSignedVarint(),
                  in.readEnum(Outcome.values()),
                  in.readSignedVarint(),
                  in.readBoolean(),
                  readLoadReport());
          case EventKind.CLIENT_DISCONNECTED -> new Event.ClientDisconnected(in.readString());
          case EventKind.SHUTDOWN_REQUESTED ->
              new Event.ShutdownRequested(roundTimeUs + in.readSignedVarint());
          case EventKind.TIMER_FIRED -> new Event.TimerFired(in.readSignedVarint());
          case EventKind.HEALTH_CHECK_COMPLETED ->
              new Event.HealthCheckCompleted(
                  in.readString(),
                  in.readEnum(Outcome.values()),
                  in.readSignedVarint(),
                  readLoadReport());
          default -> null;
        };
    in.closeFrame(end, outerLimit);
    return event;
  }

  private Event.EndpointListReceived readEndpointList() {
    ListUpdate update = in.readEnum(ListUpdate.values());
    int count = in.readCount();
    List<Endpoint> endpoints = new ArrayList<>(Math.min(count, MAX_INITIAL_CAPACITY));
    for (int i = 0; i < count; i++) {
      int outerLimit = in.limit();
      in.readByte();
      int end = in.openFrame();
      endpoints.add(
          new Endpoint(
              in.readString(),
              (int) in.readSignedVarint(),
              in.readEnum(EndpointStatus.values()),
              in.readSignedVarint(),
              in.readDouble()));
      in.closeFrame(end, outerLimit);
    }
    return new Event.EndpointListReceived(update, endpoints);
  }

  private Event.QueryReceived readQuery(int end) {
    String id = in.readString();
    long number = in.readSignedVarint();
    String queryClass = in.readString();
    String tenant = in.readString();
    long deadline = roundTimeUs + in.readSignedVarint();
    boolean clientRetry = in.readBoolean();
    String key = in.readString();
    // Early captures of 0.2.0 lack this field: their queries count as received in this round.
    long receivedAt = in.position() == end ? roundTimeUs : roundTimeUs - in.readSignedVarint();
    return new Event.QueryReceived(
        id, number, queryClass, tenant, receivedAt, deadline, clientRetry, key);
  }

  private Map<String, Double> readLoadReport() {
    int count = in.readCount();
    Map<String, Double> report = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      report.put(in.readString(), in.readDouble());
    }
    return report;
  }

  private Action readAction() {
    int outerLimit = in.limit();
    int kind = in.readByte();
    int end = in.openFrame();
    Action action =
        switch (kind) {
          case ActionKind.SEND_ATTEMPT ->
              new Action.SendAttempt(
                  in.readString(), in.readString(), roundTimeUs + in.readSignedVarint());
          case ActionKind.CANCEL_ATTEMPT ->
              new Action.CancelAttempt(in.readString(), (int) in.readSignedVarint());
          case ActionKind.RESPOND -> new Action.Respond(in.readString(), in.readBoolean());
          case ActionKind.THROTTLE -> new Action.Throttle(in.readString(), in.readSignedVarint());
          case ActionKind.FAIL -> new Action.Fail(in.readString());
          case ActionKind.SET_TIMER ->
              new Action.SetTimer(in.readSignedVarint(), in.readSignedVarint());
          case ActionKind.CHECK_HEALTH -> new Action.CheckHealth(in.readString());
          case ActionKind.RETIRE_CONNECTIONS -> new Action.RetireConnections(in.readString());
          case ActionKind.WATCH_ENDPOINTS -> new Action.WatchEndpoints(in.readBoolean());
          case ActionKind.LOG_NOTE -> new Action.LogNote(in.readString());
          default -> null;
        };
    in.closeFrame(end, outerLimit);
    return action;
  }
}
