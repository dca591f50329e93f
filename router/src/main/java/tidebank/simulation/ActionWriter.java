package tidebank.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import tidebank.config.JsonFields;
import tidebank.model.Action;
import tidebank.simulation.SimulatorProtocol.ActionKind;

/** Writes the actions of a policy instance as messages to the simulator. */
final class ActionWriter {
  private ActionWriter() {}

  static void write(JsonGenerator out, long instance, Action action) throws IOException {
    if (action instanceof Action.SendAttempt send) {
      begin(out, ActionKind.SEND_ATTEMPT, instance);
      out.writeStringField(SimulatorProtocol.HANDLE, send.shardRequest());
      out.writeStringField(SimulatorProtocol.SERVER, send.server());
      out.writeNumberField(SimulatorProtocol.STOP_AT_MS, JsonFields.toMillis(send.deadline()));
    } else if (action instanceof Action.CancelAttempt cancel) {
      begin(out, ActionKind.CANCEL_ATTEMPT, instance);
      out.writeStringField(SimulatorProtocol.HANDLE, cancel.shardRequest());
      out.writeNumberField(SimulatorProtocol.ATTEMPT, cancel.attempt());
    } else if (action instanceof Action.Respond respond) {
      begin(out, ActionKind.RESPOND, instance);
      out.writeStringField(SimulatorProtocol.HANDLE, respond.query());
      out.writeBooleanField(SimulatorProtocol.COMPLETE, respond.complete());
    } else if (action instanceof Action.Throttle throttle) {
      begin(out, ActionKind.THROTTLE, instance);
      out.writeStringField(SimulatorProtocol.HANDLE, throttle.query());
      out.writeNumberField(
          SimulatorProtocol.RETRY_AFTER_MS, JsonFields.toMillis(throttle.retryAfterUs()));
    } else if (action instanceof Action.Fail fail) {
      begin(out, ActionKind.FAIL, instance);
      out.writeStringField(SimulatorProtocol.HANDLE, fail.query());
    } else if (action instanceof Action.SetTimer timer) {
      begin(out, ActionKind.SET_TIMER, instance);
      out.writeNumberField(SimulatorProtocol.DELAY_MS, JsonFields.toMillis(timer.delayUs()));
      out.writeNumberField(SimulatorProtocol.TIMER_TOKEN, timer.token());
    } else if (action instanceof Action.CheckHealth check) {
      begin(out, ActionKind.CHECK_HEALTH, instance);
      out.writeStringField(SimulatorProtocol.SERVER, check.server());
    } else if (action instanceof Action.RetireConnections retire) {
      begin(out, ActionKind.RETIRE_CONNECTIONS, instance);
      out.writeStringField(SimulatorProtocol.SERVER, retire.server());
    } else if (action instanceof Action.WatchEndpoints watch) {
      begin(out, ActionKind.WATCH_ENDPOINTS, instance);
      out.writeBooleanField(SimulatorProtocol.COMPLETE, watch.enabled());
    } else if (action instanceof Action.LogNote note) {
      begin(out, ActionKind.LOG_NOTE, instance);
      out.writeStringField(SimulatorProtocol.NOTE, note.message());
    }
    out.writeEndObject();
  }

  /** Writes a message which reports that a policy instance threw an exception. */
  static void writeInstanceFailed(JsonGenerator out, long instance, String error)
      throws IOException {
    begin(out, ActionKind.INSTANCE_FAILED, instance);
    out.writeStringField(SimulatorProtocol.NOTE, error);
    out.writeEndObject();
  }

  private static void begin(JsonGenerator out, String kind, long instance) throws IOException {
    out.writeStartObject();
    out.writeStringField(SimulatorProtocol.KIND, kind);
    out.writeNumberField(SimulatorProtocol.INSTANCE, instance);
  }
}
