package tidebank.testbed.account;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tidebank.model.Idempotency;

/**
 * Checks the six rules from the outside: by what clients sent and got, what servers got, and what
 * gatherers were told. Pure; all times come in, in microseconds of one clock. Events may come a
 * little out of order (they are gathered from several threads): a scan is judged only when its time
 * and a while are over, and is forgotten then.
 */
public final class RuleAudit {
  /** How long after a scan's end its last traces may still come in. */
  private static final long WHILE_US = 1_000_000;

  private static final int KEPT = 50;

  /** What the rules depend on. */
  public record Settings(
      long answerSlackUs,
      long deliverySlackUs,
      long drainGraceUs,
      double overloadMultiple,
      long overloadWindowUs,
      double retryBudgetFloor,
      double retryBudgetRatio,
      long retryBudgetWindowUs) {}

  /** How an answer came back to the client. */
  public enum Response {
    ANSWERED,
    THROTTLED,
    FAILED,
    /** The client left before it had asked in full. */
    REQUEST_NOT_SENT,
    /**
     * The gatherer ended the connection. Lost if it had begun on the scan; else the end may have
     * crossed the request.
     */
    CONNECTION_CLOSED,
    NO_RESPONSE
  }

  /** What became of a dispatch at its server. */
  public enum Execution {
    EXECUTED,
    NOT_EXECUTED
  }

  /** A broken rule: which, when, and what was seen. */
  public record Violation(int rule, long atUs, String description) {}

  private static final class Held {
    final int gatherer;
    final Idempotency repeat;
    final double floor;
    final long limitUs;
    final Map<Integer, Double> weights;
    final Map<Integer, List<Sent>> sent = new HashMap<>();
    long answeredUs = -1;
    Response reply = Response.NO_RESPONSE;
    int answers;
    boolean gathererDied;

    Held(
        int gatherer,
        Idempotency repeat,
        double floor,
        long limitUs,
        Map<Integer, Double> weights) {
      this.gatherer = gatherer;
      this.repeat = repeat;
      this.floor = floor;
      this.limitUs = limitUs;
      this.weights = weights;
    }
  }

  private record Sent(long atUs, int server, Execution run) {}

  private record Told(long atUs, boolean mayHaveWork) {}

  private static final class Cold {
    final Deque<double[]> arrivals = new ArrayDeque<>();
    double sum;
    boolean fell;
  }

  private final Settings figures;
  private final Map<String, Held> scans = new LinkedHashMap<>();
  private final Map<Integer, Map<Integer, Deque<Told>>> recordAnnouncement = new HashMap<>();
  private final Map<Integer, Cold> cold = new HashMap<>();
  private final Map<Integer, Deque<Long>> taken = new HashMap<>();
  private final Map<Integer, Deque<Long>> further = new HashMap<>();
  private final Map<Integer, Long> countsByRule = new TreeMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private long checkedQueries;
  private long attempts;

  public RuleAudit(Settings figures) {
    this.figures = figures;
  }

  /** A client's try was written whole to a gatherer. */
  public void recordQuery(
      String id,
      int gatherer,
      Idempotency repeat,
      double floor,
      long atUs,
      long limitUs,
      Map<Integer, Double> weights) {
    scans.put(id, new Held(gatherer, repeat, floor, limitUs, Map.copyOf(weights)));
    if (figures.retryBudgetWindowUs() > 0) {
      Deque<Long> times = taken.computeIfAbsent(gatherer, g -> new ArrayDeque<>());
      for (int i = 0; i <= weights.size(); i++) {
        times.add(atUs);
      }
      within(times, atUs);
    }
  }

  /** A part came whole to a server. */
  public void recordAttempt(
      String id, int shard, int gatherer, int server, long atUs, Execution run) {
    attempts++;
    Held held = scans.get(id);
    if (held == null) {
      // Its scan was judged long ago, or never asked: either way nothing should come.
      breaks(1, atUs, "a part of scan " + id + " came to server " + server + " long after its end");
      return;
    }
    List<Sent> before = held.sent.computeIfAbsent(shard, s -> new ArrayList<>());
    if (!held.weights.containsKey(shard)) {
      breaks(5, atUs, "scan " + id + " never asked for shard " + shard);
    }
    before.add(new Sent(atUs, server, run));
    Deque<Told> lines = recordAnnouncement.getOrDefault(gatherer, Map.of()).get(server);
    Told last = null;
    for (Told line : lines == null ? new ArrayDeque<Told>() : lines) {
      last = line.atUs <= atUs ? line : last;
    }
    if (last != null
        && !last.mayHaveWork
        && atUs > last.atUs + figures.drainGraceUs() + figures.deliverySlackUs()) {
      breaks(
          3,
          atUs,
          "gatherer "
              + gatherer
              + " sent to server "
              + server
              + " "
              + (atUs - last.atUs) / 1000
              + " ms after it was told that it drains or is gone");
    }
    if (before.size() > 1 && figures.retryBudgetWindowUs() > 0) {
      Deque<Long> times = further.computeIfAbsent(gatherer, g -> new ArrayDeque<>());
      times.add(atUs);
      double allowed =
          figures.retryBudgetFloor()
              + figures.retryBudgetRatio() * within(taken.get(gatherer), atUs);
      long made = within(times, atUs);
      if (made > allowed) {
        breaks(
            6,
            atUs,
            "gatherer "
                + gatherer
                + " made "
                + made
                + " further dispatches where "
                + allowed
                + " are allowed");
      }
    }
  }

  private long within(Deque<Long> times, long now) {
    while (times != null
        && !times.isEmpty()
        && times.peekFirst() < now - figures.retryBudgetWindowUs()) {
      times.pollFirst();
    }
    return times == null ? 0 : times.size();
  }

  /**
   * Work came to a server that can do only this share of its work now (1: warm), of so much a
   * second.
   */
  public void recordWork(
      int server, long atUs, double workUs, double capacityUsPerS, double warmth) {
    if (warmth >= 1) {
      cold.remove(server);
      return;
    }
    Cold state = cold.computeIfAbsent(server, s -> new Cold());
    state.arrivals.add(new double[] {atUs, workUs});
    state.sum += workUs;
    while (state.arrivals.peekFirst()[0] < atUs - figures.overloadWindowUs()) {
      state.sum -= state.arrivals.pollFirst()[1];
    }
    double allowed =
        figures.overloadMultiple() * warmth * capacityUsPerS * figures.overloadWindowUs() / 1e6;
    if (state.sum > allowed * 1.1 && !state.fell) {
      state.fell = true;
      breaks(
          4,
          atUs,
          "server "
              + server
              + ", at "
              + Math.round(100 * warmth)
              + "% of its capacity, was sent "
              + Math.round(state.sum / 1000)
              + " ms of work in "
              + figures.overloadWindowUs() / 1000
              + " ms");
    }
  }

  /** Discovery wrote to a gatherer that a server may have work, or may have no new work. */
  public void recordAnnouncement(int gatherer, int server, boolean mayHaveWork, long atUs) {
    Deque<Told> lines =
        recordAnnouncement
            .computeIfAbsent(gatherer, g -> new HashMap<>())
            .computeIfAbsent(server, s -> new ArrayDeque<>());
    if (lines.isEmpty() || lines.peekLast().mayHaveWork != mayHaveWork) {
      lines.add(new Told(atUs, mayHaveWork));
      if (lines.size() > 64) {
        lines.pollFirst();
      }
    }
  }

  /** A gatherer was killed or ended: what it held is no longer its duty. */
  public void recordRouterExit(int gatherer) {
    scans.values().stream()
        .filter(held -> held.gatherer == gatherer && held.answers == 0)
        .forEach(held -> held.gathererDied = true);
  }

  /**
   * A client has its reply whole, or has given up waiting.
   *
   * @param in the shards whose right value stands in the answer
   * @param wrong how many values stand in it that no server made for it
   */
  public void recordResponse(
      String id, long atUs, Response reply, Set<Integer> in, int wrong, boolean whole) {
    Held held = scans.get(id);
    if (held == null) {
      return;
    }
    if (reply == Response.REQUEST_NOT_SENT || reply == Response.CONNECTION_CLOSED) {
      held.reply = reply;
      held.answeredUs = atUs;
      return;
    }
    if (reply == Response.NO_RESPONSE) {
      held.answeredUs = atUs;
      return;
    }
    held.answers++;
    held.answeredUs = atUs;
    held.reply = reply;
    if (held.answers > 1) {
      breaks(1, atUs, "scan " + id + " got " + held.answers + " final answers");
    }
    if (atUs > held.limitUs + figures.answerSlackUs() + figures.deliverySlackUs()) {
      breaks(
          1,
          atUs,
          "scan " + id + " got its answer " + (atUs - held.limitUs) / 1000 + " ms after its time");
    }
    if (reply == Response.ANSWERED) {
      double share = 0;
      for (int shard : new HashSet<>(in)) {
        share += held.weights.getOrDefault(shard, 0.0);
      }
      if (wrong > 0) {
        breaks(
            5,
            atUs,
            "scan " + id + " was answered with " + wrong + " values that no server made for it");
      }
      if (share < held.floor - 1e-4) {
        breaks(
            5,
            atUs,
            "scan "
                + id
                + " was answered from a share of "
                + share
                + ", its least is "
                + held.floor);
      }
      if (whole && in.size() < held.weights.size()) {
        breaks(
            5,
            atUs,
            "scan "
                + id
                + " was marked whole with "
                + in.size()
                + " of "
                + held.weights.size()
                + " parts");
      }
    }
  }

  /**
   * Judges what has had its time; to be called now and then, and with the end of time at the end.
   */
  public void checkDueQueries(long nowUs) {
    Iterator<Map.Entry<String, Held>> entries = scans.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Held> entry = entries.next();
      Held held = entry.getValue();
      if (held.limitUs + figures.answerSlackUs() + WHILE_US > nowUs) {
        // Scans of one table type come in order; a longer one in front only delays the others'
        // judgement.
        continue;
      }
      checkDueQueries(entry.getKey(), held);
      checkedQueries++;
      entries.remove();
    }
  }

  private void checkDueQueries(String id, Held held) {
    boolean answered =
        held.reply == Response.ANSWERED
            || held.reply == Response.THROTTLED
            || held.reply == Response.FAILED;
    boolean taken =
        held.reply == Response.NO_RESPONSE
            || held.reply == Response.CONNECTION_CLOSED && !held.sent.isEmpty();
    if (!answered && !held.gathererDied && taken) {
      breaks(
          1,
          held.limitUs,
          "scan "
              + id
              + (held.reply == Response.NO_RESPONSE
                  ? " never got a final answer"
                  : " lost its connection though parts of it had been sent"));
    }
    for (Map.Entry<Integer, List<Sent>> entry : held.sent.entrySet()) {
      List<Sent> sent = entry.getValue();
      sent.sort((a, b) -> Long.compare(a.atUs, b.atUs));
      if (answered) {
        for (Sent one : sent) {
          if (one.atUs > held.answeredUs + figures.deliverySlackUs()) {
            breaks(
                1,
                one.atUs,
                "shard "
                    + entry.getKey()
                    + " of scan "
                    + id
                    + " was sent "
                    + (one.atUs - held.answeredUs) / 1000
                    + " ms after the final answer");
          }
        }
      }
      if (held.repeat == Idempotency.NON_IDEMPOTENT) {
        boolean ran = false;
        for (Sent one : sent) {
          if (ran) {
            breaks(
                2,
                one.atUs,
                "shard "
                    + entry.getKey()
                    + " of scan "
                    + id
                    + ", which must not run twice, was sent again after it may have run");
          }
          ran |= one.run == Execution.EXECUTED;
        }
        if (ran && held.reply == Response.THROTTLED) {
          breaks(
              2,
              held.answeredUs,
              "scan " + id + ", which must not run twice, was throttled after a part had run");
        }
      }
    }
  }

  private void breaks(int rule, long atUs, String what) {
    countsByRule.merge(rule, 1L, Long::sum);
    if (violations.size() < KEPT) {
      violations.add(new Violation(rule, atUs, what));
    }
  }

  /** How often each rule was broken; empty is good. */
  public Map<Integer, Long> countsByRule() {
    return countsByRule;
  }

  /** The first of them, in words. */
  public List<Violation> violations() {
    return violations;
  }

  public long checkedQueries() {
    return checkedQueries;
  }

  public long attempts() {
    return attempts;
  }
}
