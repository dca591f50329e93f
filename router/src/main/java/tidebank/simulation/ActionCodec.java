package tidebank.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import tidebank.config.JsonFields;
import tidebank.model.Action;

/** Writes the module's actions in the wire's words. */
final class ActionCodec {
  private ActionCodec() {}

  static void write(JsonGenerator out, long instance, Action action) throws IOException {
    if (action instanceof Action.SendAttempt send) {
      open(out, "Assign", instance);
      out.writeStringField("handle", send.shardRequest());
      out.writeStringField("server", send.server());
      out.writeNumberField("stopAtMs", JsonFields.millis(send.deadline()));
    } else if (action instanceof Action.CancelAttempt cancel) {
      open(out, "CallOff", instance);
      out.writeStringField("handle", cancel.shardRequest());
      out.writeNumberField("try", cancel.attempt());
    } else if (action instanceof Action.Respond answer) {
      open(out, "WrapUp", instance);
      out.writeStringField("handle", answer.query());
      out.writeBooleanField("complete", answer.complete());
    } else if (action instanceof Action.Throttle throttle) {
      open(out, "Busy", instance);
      out.writeStringField("handle", throttle.query());
      out.writeNumberField("holdOffMs", JsonFields.millis(throttle.retryAfterUs()));
    } else if (action instanceof Action.Fail abandon) {
      open(out, "ReportFailure", instance);
      out.writeStringField("handle", abandon.query());
    } else if (action instanceof Action.SetTimer timer) {
      open(out, "SetTimer", instance);
      out.writeNumberField("waitMs", JsonFields.millis(timer.delayUs()));
      out.writeNumberField("label", timer.token());
    } else if (action instanceof Action.CheckHealth probe) {
      open(out, "Touch", instance);
      out.writeStringField("server", probe.server());
    } else if (action instanceof Action.RetireConnections close) {
      open(out, "Disconnect", instance);
      out.writeStringField("server", close.server());
    } else if (action instanceof Action.WatchEndpoints follow) {
      open(out, "Follow", instance);
      out.writeBooleanField("complete", follow.enabled());
    } else if (action instanceof Action.LogNote note) {
      open(out, "Trace", instance);
      out.writeStringField("noteText", note.message());
    }
    out.writeEndObject();
  }

  static void writeBailOut(JsonGenerator out, long instance, String text) throws IOException {
    open(out, "BailOut", instance);
    out.writeStringField("noteText", text);
    out.writeEndObject();
  }

  private static void open(JsonGenerator out, String kind, long instance) throws IOException {
    out.writeStartObject();
    out.writeStringField("kind", kind);
    out.writeNumberField("who", instance);
  }
}
