package tidebank.capture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;
import tidebank.model.Settings;

/**
 * Entries as bytes and back. Whole numbers are varints (signed ones by zigzag), times are
 * differences to the one before, texts are numbered when they first come. Every entry, event and
 * action stands behind its length, so that a reader passes over fields that a later version has
 * added at the end, and over kinds that it does not know. State is that of one block: a block is
 * read without any other. Pure.
 */
final class CaptureCodec {
  private static final int STARTED = 1;
  private static final int TURN = 2;
  private static final int FAILED = 3;
  private static final int GAP = 4;
  private static final int TEXT_MOST = 1 << 16;
  private static final int COUNT_MOST = 1 << 22;
  private static final ObjectMapper JSON =
      SettingsJson.configure(
          JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build());

  /** Bytes that are no entries of ours. */
  static final class Unreadable extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Unreadable(String what) {
      super(what, null, false, false);
    }
  }

  private CaptureCodec() {}

  /** A digest over what a module wanted done, the same for the same actions in the same order. */
  static int digest(List<Action> actions) {
    Encoder encoder = new Encoder();
    for (Action action : actions) {
      encoder.action(action);
    }
    CRC32C crc = new CRC32C();
    crc.update(encoder.bytes, 0, encoder.length);
    return (int) crc.getValue();
  }

  /** Puts entries into one block. */
  static final class Encoder {
    private byte[] bytes = new byte[4096];
    private int length;
    private final Map<String, Integer> texts = new HashMap<>();
    private long now;

    int length() {
      return length;
    }

    byte[] bytes() {
      return Arrays.copyOf(bytes, length);
    }

    void add(CaptureRecord entry) {
      if (entry instanceof CaptureRecord.Started started) {
        int at = begin(STARTED);
        try {
          raw(JSON.writeValueAsBytes(started.settings()));
        } catch (JsonProcessingException fault) {
          throw new IllegalStateException(fault);
        }
        fixed(started.seed());
        end(at);
      } else if (entry instanceof CaptureRecord.Iteration turn) {
        int at = begin(TURN);
        time(turn.nowUs());
        events(turn.events());
        fixed(turn.digest());
        whole(turn.actions() == null ? 0 : 1 + turn.actions().size());
        if (turn.actions() != null) {
          turn.actions().forEach(this::action);
        }
        end(at);
      } else if (entry instanceof CaptureRecord.Failed failed) {
        int at = begin(FAILED);
        time(failed.nowUs());
        events(failed.events());
        text(failed.cause());
        end(at);
      } else if (entry instanceof CaptureRecord.Gap gap) {
        int at = begin(GAP);
        whole(gap.turns());
        end(at);
      }
    }

    /** A kind, and four bytes for the length of what follows. */
    private int begin(int kind) {
      octet(kind);
      int at = length;
      room(4);
      length += 4;
      return at;
    }

    private void end(int at) {
      int size = length - at - 4;
      for (int i = 0; i < 4; i++) {
        bytes[at + i] = (byte) (size >>> 8 * (3 - i));
      }
    }

    private void events(List<Event> events) {
      whole(events.size());
      events.forEach(this::event);
    }

    private void event(Event event) {
      int at;
      if (event instanceof Event.EndpointListReceived seen) {
        at = begin(1);
        octet(seen.update().ordinal());
        whole(seen.endpoints().size());
        for (Endpoint line : seen.endpoints()) {
          int inner = begin(0);
          text(line.server());
          signed(line.position());
          octet(line.status().ordinal());
          signed(line.startedAt());
          number(line.capacity());
          end(inner);
        }
      } else if (event instanceof Event.QueryReceived scan) {
        at = begin(2);
        text(scan.id());
        signed(scan.number());
        text(scan.queryClass());
        text(scan.tenant());
        signed(scan.deadline() - now);
        octet(scan.clientRetry() ? 1 : 0);
        text(scan.key());
        signed(now - scan.receivedAt());
      } else if (event instanceof Event.ShardRequestReceived part) {
        at = begin(3);
        text(part.id());
        signed(part.queryNumber());
        signed(part.shard());
        number(part.weight());
        text(part.key());
      } else if (event instanceof Event.AttemptCompleted ended) {
        at = begin(4);
        text(ended.shardRequest());
        signed(ended.attempt());
        octet(ended.outcome().ordinal());
        signed(ended.durationUs());
        octet(ended.requestClosed() ? 1 : 0);
        report(ended.loadReport());
      } else if (event instanceof Event.ClientDisconnected lapsed) {
        at = begin(5);
        text(lapsed.query());
      } else if (event instanceof Event.ShutdownRequested ending) {
        at = begin(6);
        signed(ending.deadline() - now);
      } else if (event instanceof Event.TimerFired due) {
        at = begin(7);
        signed(due.token());
      } else if (event instanceof Event.HealthCheckCompleted probed) {
        at = begin(8);
        text(probed.server());
        octet(probed.outcome().ordinal());
        signed(probed.durationUs());
        report(probed.loadReport());
      } else {
        throw new IllegalStateException("no form for " + event);
      }
      end(at);
    }

    private void action(Action action) {
      int at;
      if (action instanceof Action.SendAttempt send) {
        at = begin(1);
        text(send.shardRequest());
        text(send.server());
        signed(send.deadline() - now);
      } else if (action instanceof Action.CancelAttempt cancel) {
        at = begin(2);
        text(cancel.shardRequest());
        signed(cancel.attempt());
      } else if (action instanceof Action.Respond answer) {
        at = begin(3);
        text(answer.query());
        octet(answer.complete() ? 1 : 0);
      } else if (action instanceof Action.Throttle throttle) {
        at = begin(4);
        text(throttle.query());
        signed(throttle.retryAfterUs());
      } else if (action instanceof Action.Fail abandon) {
        at = begin(5);
        text(abandon.query());
      } else if (action instanceof Action.SetTimer timer) {
        at = begin(6);
        signed(timer.delayUs());
        signed(timer.token());
      } else if (action instanceof Action.CheckHealth probe) {
        at = begin(7);
        text(probe.server());
      } else if (action instanceof Action.RetireConnections close) {
        at = begin(8);
        text(close.server());
      } else if (action instanceof Action.WatchEndpoints follow) {
        at = begin(9);
        octet(follow.enabled() ? 1 : 0);
      } else if (action instanceof Action.LogNote note) {
        at = begin(10);
        text(note.message());
      } else {
        throw new IllegalStateException("no form for " + action);
      }
      end(at);
    }

    private void report(Map<String, Double> report) {
      whole(report.size());
      report.forEach(
          (name, value) -> {
            text(name);
            number(value);
          });
    }

    private void time(long nowUs) {
      signed(nowUs - now);
      now = nowUs;
    }

    /**
     * A number for a text that came before in this block; else 0 and the text. Null counts as a
     * text of its own.
     */
    private void text(String text) {
      if (text == null) {
        whole(1);
        return;
      }
      Integer known = texts.get(text);
      if (known != null) {
        whole(known + 2L);
        return;
      }
      texts.put(text, texts.size());
      whole(0);
      byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
      raw(utf8);
    }

    private void raw(byte[] some) {
      whole(some.length);
      room(some.length);
      System.arraycopy(some, 0, bytes, length, some.length);
      length += some.length;
    }

    private void number(double value) {
      fixed(Double.doubleToLongBits(value));
    }

    private void fixed(long value) {
      room(8);
      for (int i = 7; i >= 0; i--) {
        bytes[length++] = (byte) (value >>> 8 * i);
      }
    }

    private void signed(long value) {
      whole(value << 1 ^ value >> 63);
    }

    private void whole(long value) {
      room(10);
      long rest = value;
      while ((rest & ~0x7fL) != 0) {
        bytes[length++] = (byte) (rest & 0x7f | 0x80);
        rest >>>= 7;
      }
      bytes[length++] = (byte) rest;
    }

    private void octet(int value) {
      room(1);
      bytes[length++] = (byte) value;
    }

    private void room(int more) {
      if (length + more > bytes.length) {
        bytes = Arrays.copyOf(bytes, Math.max(length + more, 2 * bytes.length));
      }
    }
  }

  /** Reads the entries of one block. */
  static final class Decoder {
    private final byte[] bytes;
    private int at;
    private int most;
    private final List<String> texts = new ArrayList<>();
    private long now;

    Decoder(byte[] bytes) {
      this.bytes = bytes;
      most = bytes.length;
    }

    List<CaptureRecord> entries() {
      List<CaptureRecord> entries = new ArrayList<>();
      while (at < bytes.length) {
        int kind = octet();
        int end = inner();
        switch (kind) {
          case STARTED -> {
            try {
              entries.add(
                  new CaptureRecord.Started(JSON.readValue(raw(), Settings.class), fixed()));
            } catch (java.io.IOException fault) {
              throw new Unreadable("settings that can't be read: " + fault.getMessage());
            }
          }
          case TURN -> {
            now += signed();
            List<Event> events = events();
            int digest = (int) fixed();
            int count = count();
            List<Action> actions = count == 0 ? null : new ArrayList<>();
            for (int i = 1; i < count; i++) {
              Action action = action();
              if (action != null) {
                actions.add(action);
              }
            }
            entries.add(new CaptureRecord.Iteration(now, events, digest, actions));
          }
          case FAILED -> {
            now += signed();
            entries.add(new CaptureRecord.Failed(now, events(), text()));
          }
          case GAP -> entries.add(new CaptureRecord.Gap(whole()));
          default -> {
            // A kind of a later version: passed over by its length.
          }
        }
        leave(end, bytes.length);
      }
      return entries;
    }

    /** Goes into what stands behind a length; returns where it ends. */
    private int inner() {
      need(4);
      int size = 0;
      for (int i = 0; i < 4; i++) {
        size = size << 8 | bytes[at++] & 0xff;
      }
      if (size < 0 || at + size > most) {
        throw new Unreadable("a length beyond its frame");
      }
      most = at + size;
      return most;
    }

    private void leave(int end, int outer) {
      at = end;
      most = outer;
    }

    private List<Event> events() {
      int count = count();
      List<Event> events = new ArrayList<>(Math.min(count, 1024));
      for (int i = 0; i < count; i++) {
        Event event = event();
        if (event != null) {
          events.add(event);
        }
      }
      return events;
    }

    private Event event() {
      int outer = most;
      int kind = octet();
      int end = inner();
      Event event =
          switch (kind) {
            case 1 -> {
              ListUpdate list = of(ListUpdate.values());
              int count = count();
              List<Endpoint> lines = new ArrayList<>(Math.min(count, 1024));
              for (int i = 0; i < count; i++) {
                int around = most;
                octet();
                int lineEnd = inner();
                lines.add(
                    new Endpoint(
                        text(), (int) signed(), of(EndpointStatus.values()), signed(), number()));
                leave(lineEnd, around);
              }
              yield new Event.EndpointListReceived(list, lines);
            }
            case 2 -> {
              Event.QueryReceived scan =
                  new Event.QueryReceived(
                      text(), signed(), text(), text(), now, now + signed(), octet() == 1, text());
              // Captures of 0.2.0 before the fleet test do not tell it.
              yield at == end
                  ? scan
                  : new Event.QueryReceived(
                      scan.id(),
                      scan.number(),
                      scan.queryClass(),
                      scan.tenant(),
                      now - signed(),
                      scan.deadline(),
                      scan.clientRetry(),
                      scan.key());
            }
            case 3 ->
                new Event.ShardRequestReceived(text(), signed(), (int) signed(), number(), text());
            case 4 ->
                new Event.AttemptCompleted(
                    text(), (int) signed(), of(Outcome.values()), signed(), octet() == 1, report());
            case 5 -> new Event.ClientDisconnected(text());
            case 6 -> new Event.ShutdownRequested(now + signed());
            case 7 -> new Event.TimerFired(signed());
            case 8 ->
                new Event.HealthCheckCompleted(text(), of(Outcome.values()), signed(), report());
            default -> null;
          };
      leave(end, outer);
      return event;
    }

    private Action action() {
      int outer = most;
      int kind = octet();
      int end = inner();
      Action action =
          switch (kind) {
            case 1 -> new Action.SendAttempt(text(), text(), now + signed());
            case 2 -> new Action.CancelAttempt(text(), (int) signed());
            case 3 -> new Action.Respond(text(), octet() == 1);
            case 4 -> new Action.Throttle(text(), signed());
            case 5 -> new Action.Fail(text());
            case 6 -> new Action.SetTimer(signed(), signed());
            case 7 -> new Action.CheckHealth(text());
            case 8 -> new Action.RetireConnections(text());
            case 9 -> new Action.WatchEndpoints(octet() == 1);
            case 10 -> new Action.LogNote(text());
            default -> null;
          };
      leave(end, outer);
      return action;
    }

    private Map<String, Double> report() {
      int count = count();
      Map<String, Double> report = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        report.put(text(), number());
      }
      return report;
    }

    private <E> E of(E[] all) {
      int row = octet();
      if (row >= all.length) {
        throw new Unreadable("a value of a later version where one of ours is needed");
      }
      return all[row];
    }

    private String text() {
      long number = whole();
      if (number == 1) {
        return null;
      }
      if (number == 0) {
        byte[] utf8 = raw();
        String text = new String(utf8, StandardCharsets.UTF_8);
        texts.add(text);
        return text;
      }
      if (number - 2 >= texts.size()) {
        throw new Unreadable("a text that never came");
      }
      return texts.get((int) number - 2);
    }

    private byte[] raw() {
      long size = whole();
      if (size < 0 || size > Math.max(TEXT_MOST, bytes.length)) {
        throw new Unreadable("a text beyond its bound");
      }
      need((int) size);
      byte[] some = Arrays.copyOfRange(bytes, at, at + (int) size);
      at += (int) size;
      return some;
    }

    private int count() {
      long count = whole();
      if (count < 0 || count > COUNT_MOST) {
        throw new Unreadable("a count beyond its bound");
      }
      return (int) count;
    }

    private double number() {
      return Double.longBitsToDouble(fixed());
    }

    private long fixed() {
      need(8);
      long value = 0;
      for (int i = 0; i < 8; i++) {
        value = value << 8 | bytes[at++] & 0xff;
      }
      return value;
    }

    private long signed() {
      long value = whole();
      return value >>> 1 ^ -(value & 1);
    }

    private long whole() {
      long value = 0;
      for (int shift = 0; shift < 64; shift += 7) {
        int next = octet();
        value |= (long) (next & 0x7f) << shift;
        if ((next & 0x80) == 0) {
          return value;
        }
      }
      throw new Unreadable("a number without an end");
    }

    private int octet() {
      need(1);
      return bytes[at++] & 0xff;
    }

    private void need(int more) {
      if (more < 0 || at + more > most) {
        throw new Unreadable("an entry that ends too soon");
      }
    }
  }
}
