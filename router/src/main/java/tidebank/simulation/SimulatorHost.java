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
import java.util.Optional;
import tidebank.config.JsonFields;
import tidebank.config.MalformedInputException;
import tidebank.config.SettingsReader;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.policy.RoutingPolicy;
import tidebank.simulation.SimulatorProtocol.EventKind;

/**
 * A host of many routing policy instances for the simulator. It reads one batch of messages per
 * line and writes one line of actions for each batch. Not thread-safe.
 */
public final class SimulatorHost {
  private static final int MAX_PAGES = 16;

  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<Long, RoutingPolicy> instances = new HashMap<>();
  private final List<List<Endpoint>> pages = new ArrayList<>(Collections.nCopies(MAX_PAGES, null));

  /**
   * Processes batches until the end of the input.
   *
   * @throws MalformedInputException if a line is not a valid batch of the protocol
   * @throws IOException if reading or writing fails
   */
  public void run(InputStream in, OutputStream out) throws IOException {
    BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    JsonGenerator reply = mapper.getFactory().createGenerator(out);
    reply.setRootValueSeparator(null);
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      handleBatch(line, reply);
      reply.writeRaw('\n');
      reply.flush();
    }
  }

  private void handleBatch(String line, JsonGenerator reply) throws IOException {
    JsonNode batch = parse(line);
    long now = JsonFields.micros(batch, SimulatorProtocol.TIME_MS);
    JsonNode messages = JsonFields.requiredField(batch, SimulatorProtocol.MESSAGES);
    if (!messages.isArray()) {
      throw new MalformedInputException("'" + SimulatorProtocol.MESSAGES + "' is not an array");
    }
    Map<Long, List<Event>> eventsByInstance = new LinkedHashMap<>();
    for (JsonNode message : messages) {
      handleMessage(message, now, eventsByInstance);
    }
    reply.writeStartObject();
    reply.writeArrayFieldStart(SimulatorProtocol.OUTPUT);
    for (Map.Entry<Long, List<Event>> entry : eventsByInstance.entrySet()) {
      decide(entry.getKey(), now, entry.getValue(), reply);
    }
    reply.writeEndArray();
    reply.writeEndObject();
  }

  private JsonNode parse(String line) throws IOException {
    JsonNode batch;
    try {
      batch = mapper.readTree(line);
    } catch (JsonProcessingException e) {
      throw new MalformedInputException("input line is not JSON: " + e.getOriginalMessage());
    }
    if (batch == null || !batch.isObject()) {
      throw new MalformedInputException("input line is not a batch: it is not a JSON object");
    }
    return batch;
  }

  private void handleMessage(JsonNode message, long now, Map<Long, List<Event>> eventsByInstance)
      throws IOException {
    String kind = JsonFields.text(message, SimulatorProtocol.KIND);
    if (kind.equals(EventKind.ENDPOINT_PAGE)) {
      storePage(message);
      return;
    }
    long instance = JsonFields.integer(message, SimulatorProtocol.INSTANCE);
    switch (kind) {
      case EventKind.ATTACH -> {
        instances.put(instance, attach(message));
        eventsByInstance.put(instance, new ArrayList<>());
      }
      case EventKind.RETIRE -> {
        instances.remove(instance);
        eventsByInstance.remove(instance);
      }
      default -> addEvent(message, kind, instance, now, eventsByInstance);
    }
  }

  private void storePage(JsonNode message) throws IOException {
    long page = JsonFields.integer(message, SimulatorProtocol.PAGE);
    if (page < 0 || page >= MAX_PAGES) {
      throw new MalformedInputException(
          "endpoint list page " + page + " is outside the range 0 to " + (MAX_PAGES - 1));
    }
    pages.set((int) page, EventReader.readPage(message));
  }

  private static RoutingPolicy attach(JsonNode message) throws IOException {
    JsonNode seed = JsonFields.requiredField(message, SimulatorProtocol.SEED);
    return new RoutingPolicy(
        SettingsReader.read(JsonFields.requiredField(message, SimulatorProtocol.SETTINGS)),
        seed.longValue());
  }

  private void addEvent(
      JsonNode message,
      String kind,
      long instance,
      long now,
      Map<Long, List<Event>> eventsByInstance)
      throws IOException {
    Optional<Event> event = EventReader.read(message, now, pages);
    if (!instances.containsKey(instance)) {
      throw new MalformedInputException(
          "'" + kind + "' for instance " + instance + ", which was never attached");
    }
    List<Event> events = eventsByInstance.computeIfAbsent(instance, key -> new ArrayList<>());
    event.ifPresent(events::add);
  }

  /** Runs a decision round of one instance and writes its actions, or the exception it threw. */
  private void decide(long instance, long now, List<Event> events, JsonGenerator reply)
      throws IOException {
    List<Action> actions;
    try {
      actions = instances.get(instance).runRound(now, events);
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      ActionWriter.writeInstanceFailed(
          reply, instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
      return;
    }
    for (Action action : actions) {
      ActionWriter.write(reply, instance, action);
    }
  }
}
