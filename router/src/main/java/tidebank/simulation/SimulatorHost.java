package tidebank.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.config.JsonFields;
import tidebank.config.MalformedInputException;
import tidebank.config.SettingsReader;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.policy.RoutingPolicy;

/** Hosts many instances on the simulator's wire: one line in, one line out, until input ends. */
public final class SimulatorHost {
  private static final int PAGES = 16;

  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<Long, RoutingPolicy> instances = new HashMap<>();
  private final List<List<Endpoint>> sheets = new ArrayList<>(Collections.nCopies(PAGES, null));

  public void run(InputStream in, OutputStream out) throws IOException {
    BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    JsonGenerator reply = mapper.getFactory().createGenerator(out);
    reply.setRootValueSeparator(null);
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      answer(line, reply);
      reply.writeRaw('\n');
      reply.flush();
    }
  }

  private void answer(String line, JsonGenerator reply) throws IOException {
    JsonNode batch;
    try {
      batch = mapper.readTree(line);
    } catch (JsonProcessingException fault) {
      throw new MalformedInputException("a line is not JSON: " + fault.getOriginalMessage());
    }
    if (batch == null || !batch.isObject()) {
      throw new MalformedInputException("a line is no batch object");
    }
    long now = JsonFields.micros(batch, "simTimeMs");
    JsonNode messages = JsonFields.required(batch, "msgs");
    if (!messages.isArray()) {
      throw new MalformedInputException("'msgs' is no array");
    }
    Map<Long, List<Event>> told = new LinkedHashMap<>();
    for (JsonNode message : messages) {
      take(message, now, told);
    }
    reply.writeStartObject();
    reply.writeArrayFieldStart("output");
    for (Map.Entry<Long, List<Event>> entry : told.entrySet()) {
      decide(entry.getKey(), now, entry.getValue(), reply);
    }
    reply.writeEndArray();
    reply.writeEndObject();
  }

  private void take(JsonNode message, long now, Map<Long, List<Event>> told) throws IOException {
    String kind = JsonFields.text(message, "kind");
    if (kind.equals("Sheet")) {
      long page = JsonFields.integer(message, "page");
      if (page < 0 || page >= PAGES) {
        throw new MalformedInputException("list page " + page + " is outside 0 to " + (PAGES - 1));
      }
      sheets.set((int) page, EventCodec.sheet(message));
      return;
    }
    long instance = JsonFields.integer(message, "who");
    if (kind.equals("Attach")) {
      JsonNode salt = JsonFields.required(message, "salt");
      instances.put(
          instance,
          new RoutingPolicy(
              SettingsReader.read(JsonFields.required(message, "config")), salt.longValue()));
      told.put(instance, new ArrayList<>());
    } else if (kind.equals("Retire")) {
      instances.remove(instance);
      told.remove(instance);
    } else {
      Event event = EventCodec.read(message, now, sheets);
      if (!instances.containsKey(instance)) {
        throw new MalformedInputException(
            "'" + kind + "' for instance " + instance + ", which was never attached");
      }
      List<Event> events = told.computeIfAbsent(instance, absent -> new ArrayList<>());
      if (event != null) {
        events.add(event);
      }
    }
  }

  private void decide(long instance, long now, List<Event> events, JsonGenerator reply)
      throws IOException {
    List<Action> actions;
    try {
      actions = instances.get(instance).on(now, events);
    } catch (RuntimeException fault) {
      StackTraceElement[] trace = fault.getStackTrace();
      ActionCodec.writeBailOut(
          reply, instance, fault + (trace.length > 0 ? " at " + trace[0] : ""));
      return;
    }
    for (Action action : actions) {
      ActionCodec.write(reply, instance, action);
    }
  }
}
