package tidebank.capture;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.Map;
import tidebank.capture.CaptureFormat.ActionKind;
import tidebank.capture.CaptureFormat.EventKind;
import tidebank.capture.CaptureFormat.RecordKind;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;

/**
 * Encodes capture records into one block. The time of a round is stored as the difference from the
 * previous round, most times within a round as the difference from the round. A block can be
 * decoded independently of other blocks. Does no I/O.
 */
@SuppressWarnings("EnumOrdinal") // ordinals are stored, see CaptureFormat
final class CaptureEncoder {
  private final BlockWriter out = new BlockWriter();
  private long roundTimeUs;

  /** Returns the current size of the block, in bytes. */
  int length() {
    return out.length();
  }

  byte[] toByteArray() {
    return out.toByteArray();
  }

  /** Returns the underlying buffer, not a copy. It is valid up to {@link #length()}. */
  byte[] array() {
    return out.array();
  }

  void write(CaptureRecord record) {
    if (record instanceof CaptureRecord.PolicyStarted started) {
      writeStarted(started);
    } else if (record instanceof CaptureRecord.DecisionRound round) {
      writeRound(round);
    } else if (record instanceof CaptureRecord.RoundFailed failed) {
      int frame = out.beginFrame(RecordKind.ROUND_FAILED);
      writeTime(failed.nowUs());
      writeEvents(failed.events());
      out.writeString(failed.cause());
      out.endFrame(frame);
    } else if (record instanceof CaptureRecord.Gap gap) {
      int frame = out.beginFrame(RecordKind.GAP);
      out.writeVarint(gap.rounds());
      out.endFrame(frame);
    }
  }

  private void writeStarted(CaptureRecord.PolicyStarted started) {
    int frame = out.beginFrame(RecordKind.POLICY_STARTED);
    try {
      out.writeBytes(SettingsJson.write(started.settings()));
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException("settings cannot be written as JSON", exception);
    }
    out.writeLong(started.seed());
    out.endFrame(frame);
  }

  private void writeRound(CaptureRecord.DecisionRound round) {
    int frame = out.beginFrame(RecordKind.DECISION_ROUND);
    writeTime(round.nowUs());
    writeEvents(round.events());
    out.writeLong(round.digest());
    // 0 if only the digest is stored, else the number of actions plus 1.
    out.writeVarint(round.actions() == null ? 0 : 1 + round.actions().size());
    if (round.actions() != null) {
      round.actions().forEach(this::writeAction);
    }
    out.endFrame(frame);
  }

  private void writeTime(long nowUs) {
    out.writeSignedVarint(nowUs - roundTimeUs);
    roundTimeUs = nowUs;
  }

  private void writeEvents(List<Event> events) {
    out.writeVarint(events.size());
    events.forEach(this::writeEvent);
  }

  private void writeEvent(Event event) {
    int frame;
    if (event instanceof Event.EndpointListReceived list) {
      frame = out.beginFrame(EventKind.ENDPOINT_LIST_RECEIVED);
      writeEndpointList(list);
    } else if (event instanceof Event.QueryReceived query) {
      frame = out.beginFrame(EventKind.QUERY_RECEIVED);
      writeQuery(query);
    } else if (event instanceof Event.ShardRequestReceived request) {
      frame = out.beginFrame(EventKind.SHARD_REQUEST_RECEIVED);
      writeShardRequest(request);
    } else if (event instanceof Event.AttemptCompleted completed) {
      frame = out.beginFrame(EventKind.ATTEMPT_COMPLETED);
      writeAttemptCompleted(completed);
    } else if (event instanceof Event.ClientDisconnected disconnected) {
      frame = out.beginFrame(EventKind.CLIENT_DISCONNECTED);
      out.writeString(disconnected.query());
    } else if (event instanceof Event.ShutdownRequested shutdown) {
      frame = out.beginFrame(EventKind.SHUTDOWN_REQUESTED);
      out.writeSignedVarint(shutdown.deadline() - roundTimeUs);
    } else if (event instanceof Event.TimerFired timer) {
      frame = out.beginFrame(EventKind.TIMER_FIRED);
      out.writeSignedVarint(timer.token());
    } else if (event instanceof Event.HealthCheckCompleted check) {
      frame = out.beginFrame(EventKind.HEALTH_CHECK_COMPLETED);
      out.writeString(check.server());
      out.writeByte(check.outcome().ordinal());
      out.writeSignedVarint(check.durationUs());
      writeLoadReport(check.loadReport());
    } else {
      throw new IllegalStateException("event has no capture format: " + event);
    }
    out.endFrame(frame);
  }

  private void writeEndpointList(Event.EndpointListReceived list) {
    out.writeByte(list.update().ordinal());
    out.writeVarint(list.endpoints().size());
    for (Endpoint endpoint : list.endpoints()) {
      int frame = out.beginFrame(EventKind.ENDPOINT);
      out.writeString(endpoint.server());
      out.writeSignedVarint(endpoint.position());
      out.writeByte(endpoint.status().ordinal());
      out.writeSignedVarint(endpoint.startedAt());
      out.writeDouble(endpoint.capacity());
      out.endFrame(frame);
    }
  }

  private void writeQuery(Event.QueryReceived query) {
    out.writeString(query.id());
    out.writeSignedVarint(query.number());
    out.writeString(query.queryClass());
    out.writeString(query.tenant());
    out.writeSignedVarint(query.deadline() - roundTimeUs);
    out.writeBoolean(query.clientRetry());
    out.writeString(query.key());
    out.writeSignedVarint(roundTimeUs - query.receivedAt());
  }

  private void writeShardRequest(Event.ShardRequestReceived request) {
    out.writeString(request.id());
    out.writeSignedVarint(request.queryNumber());
    out.writeSignedVarint(request.shard());
    out.writeDouble(request.weight());
    out.writeString(request.key());
  }

  private void writeAttemptCompleted(Event.AttemptCompleted completed) {
    out.writeString(completed.shardRequest());
    out.writeSignedVarint(completed.attempt());
    out.writeByte(completed.outcome().ordinal());
    out.writeSignedVarint(completed.durationUs());
    out.writeBoolean(completed.requestClosed());
    writeLoadReport(completed.loadReport());
  }

  private void writeLoadReport(Map<String, Double> report) {
    out.writeVarint(report.size());
    report.forEach(
        (name, value) -> {
          out.writeString(name);
          out.writeDouble(value);
        });
  }

  void writeAction(Action action) {
    int frame;
    if (action instanceof Action.SendAttempt send) {
      frame = out.beginFrame(ActionKind.SEND_ATTEMPT);
      out.writeString(send.shardRequest());
      out.writeString(send.server());
      out.writeSignedVarint(send.deadline() - roundTimeUs);
    } else if (action instanceof Action.CancelAttempt cancel) {
      frame = out.beginFrame(ActionKind.CANCEL_ATTEMPT);
      out.writeString(cancel.shardRequest());
      out.writeSignedVarint(cancel.attempt());
    } else if (action instanceof Action.Respond respond) {
      frame = out.beginFrame(ActionKind.RESPOND);
      out.writeString(respond.query());
      out.writeBoolean(respond.complete());
    } else if (action instanceof Action.Throttle throttle) {
      frame = out.beginFrame(ActionKind.THROTTLE);
      out.writeString(throttle.query());
      out.writeSignedVarint(throttle.retryAfterUs());
    } else if (action instanceof Action.Fail fail) {
      frame = out.beginFrame(ActionKind.FAIL);
      out.writeString(fail.query());
    } else if (action instanceof Action.SetTimer timer) {
      frame = out.beginFrame(ActionKind.SET_TIMER);
      out.writeSignedVarint(timer.delayUs());
      out.writeSignedVarint(timer.token());
    } else if (action instanceof Action.CheckHealth check) {
      frame = out.beginFrame(ActionKind.CHECK_HEALTH);
      out.writeString(check.server());
    } else if (action instanceof Action.RetireConnections retire) {
      frame = out.beginFrame(ActionKind.RETIRE_CONNECTIONS);
      out.writeString(retire.server());
    } else if (action instanceof Action.WatchEndpoints watch) {
      frame = out.beginFrame(ActionKind.WATCH_ENDPOINTS);
      out.writeBoolean(watch.enabled());
    } else if (action instanceof Action.LogNote note) {
      frame = out.beginFrame(ActionKind.LOG_NOTE);
      out.writeString(note.message());
    } else {
      throw new IllegalStateException("action has no capture format: " + action);
    }
    out.endFrame(frame);
  }
}
