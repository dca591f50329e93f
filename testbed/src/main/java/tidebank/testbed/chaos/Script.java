package tidebank.testbed.chaos;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;
import tidebank.errors.TidebankException;

/**
 * What is done to a fleet, step by step, each as soon as something was seen.
 *
 * @param name of the script
 * @param about one sentence on what it is for
 * @param stewards how many
 * @param members how many
 * @param leaseMs the lease
 * @param drift by which clocks may be wrong, as the stewards are told
 * @param clocks of single processes, as rates; the others run true
 * @param steps in order
 */
public record Script(
    String name,
    String about,
    int stewards,
    int members,
    long leaseMs,
    double drift,
    Map<String, Double> clocks,
    List<Step> steps) {
  private static final Pattern PROCESS = Pattern.compile("[gs]\\d{1,2}");
  private static final Pattern NAME = Pattern.compile("[a-z][a-z-]*");
  private static final Set<String> ROLES =
      Set.of("owner", "remover", "other", "leader", "follower", "members", "stewards", "all");
  private static final Set<Await> OF =
      Set.of(Await.RENEWALS, Await.CALLS, Await.CLAIMS, Await.ENDED);

  /** What has to be seen before a step is taken, counted from the step before. */
  public enum Await {
    NOTHING,
    /** So many more reports published. */
    PUBLICATIONS,
    /** So many more renewals by {@code of} answered. */
    RENEWALS,
    /** So many more commands sent by {@code of}. */
    CALLS,
    /** So many more claims of the report sent by {@code of}. */
    CLAIMS,
    /** So many more lists of removals sent to be published, by whomever. */
    LISTS,
    /** The duty was granted by a newer token. */
    GRANT,
    /** A newer token has published. */
    SUCCESSOR,
    /** The lease of the duty's last owner is over, and nobody has it. */
    EXPIRED,
    /** Every duty has a living owner. */
    OWNED,
    /** So many members are alive, as the stewards see it. */
    ALIVE,
    /** Another steward leads. */
    LEADER,
    /** No steward can decide anything. */
    LEADERLESS,
    /** The process {@code of} has ended. */
    ENDED
  }

  /** What a step does. */
  public enum Do {
    NOTHING,
    /** SIGSTOP. */
    STOP,
    /** SIGCONT. */
    WAKE,
    /** SIGKILL. */
    KILL,
    /** SIGTERM. */
    TERM,
    /**
     * Starts a process that has ended, under its name and with its disk; at the rate {@code clock}.
     */
    START,
    /** Something to the links from {@code who} to {@code to}. */
    LINK,
    /** Keeps a copy of the disk of a steward that is down, to be put back by OLDER_DISK. */
    COPY_DISK,
    /** The disk of a steward that is down is emptied. */
    EMPTY_DISK,
    /** It is put back as it was copied. */
    OLDER_DISK,
    /** Half of its newest snapshot is cut off. */
    DAMAGED_DISK,
    /** {@code scans} scans to every member that can answer. */
    SCANS,
    /**
     * {@code scans} files that are kept too long, and as many that are not, into the fleet's
     * folder.
     */
    LITTER,
    /** An operator drains a member. */
    DRAIN,
    /** An operator admits it again. */
    ADMIT,
    /** An operator moves the report to a member. */
    MOVE,
    /** An operator moves it to anywhere. */
    MOVE_ANYWHERE
  }

  /**
   * A step.
   *
   * @param await what has to be seen first
   * @param count how much of it
   * @param scans how many, where scans are sent
   * @param of whose
   * @param act what is done then
   * @param who to whom; {@code owner} (of the report), {@code remover} (the owner of the retention)
   *     and {@code leader} are those of that moment, {@code other} and {@code follower} the first
   *     that are neither
   * @param as a name by which later steps call the same one
   * @param to the other end of the links
   * @param fault what is done to links
   * @param ms a time of the fault
   * @param jitterMs how much it varies
   * @param bytesPerS a rate of the fault
   * @param clock the rate at which a started process's clock runs
   */
  public record Step(
      Await await,
      int count,
      int scans,
      String of,
      Do act,
      String who,
      String as,
      String to,
      FaultyLink.Fault fault,
      long ms,
      long jitterMs,
      long bytesPerS,
      double clock) {
    /** What does not count is the same in all. */
    public Step {
      of = OF.contains(await) ? of : "";
      ms = fault == null ? 0 : ms;
      jitterMs = fault == null ? 0 : jitterMs;
      bytesPerS = fault == null ? 0 : bytesPerS;
    }

    static Step of(Await await, int count, Do act, String who, String as) {
      return new Step(await, count, 1, "members", act, who, as, "", null, 0, 0, 0, 1);
    }

    static Step link(
        Await await, int count, String from, String to, FaultyLink.Fault fault, long ms) {
      return new Step(await, count, 1, "members", Do.LINK, from, "", to, fault, ms, ms / 2, 400, 1);
    }

    /** For people. */
    public String said() {
      String what = act.name().toLowerCase(Locale.ROOT).replace('_', ' ');
      return act == Do.LINK
          ? "link "
              + who
              + " to "
              + to
              + ": "
              + fault.name().toLowerCase(Locale.ROOT).replace('_', ' ')
              + (ms > 0 ? " " + ms + " ms" : "")
          : what
              + (who.isEmpty() ? "" : " " + who)
              + (as.isEmpty() ? "" : " as " + as)
              + (act == Do.SCANS || act == Do.LITTER ? " " + scans : "")
              + (clock == 1 ? "" : " with a clock at " + clock);
    }
  }

  /** Names of the scripts that come with the program. */
  public static List<String> known() throws IOException {
    return text("index.txt").lines().filter(line -> !line.isBlank()).toList();
  }

  /** A script that comes with the program, by its name, or any file. */
  public static Script read(String nameOrFile) throws IOException {
    if (known().contains(nameOrFile)) {
      return read(Toml.read(nameOrFile + ".toml", text(nameOrFile + ".toml")), nameOrFile);
    }
    Path file = Path.of(nameOrFile);
    if (!Files.isRegularFile(file)) {
      throw new TidebankException.ScriptUnknown(nameOrFile, known());
    }
    return read(Toml.read(file), file.getFileName().toString().replace(".toml", ""));
  }

  private static String text(String name) throws IOException {
    try (InputStream in = Script.class.getResourceAsStream(name)) {
      if (in == null) {
        throw new IOException("the program lacks its script " + name);
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  static Script read(Toml file, String name) throws MalformedInputException {
    Toml.Table root = file.root();
    Map<String, Double> clocks = new TreeMap<>();
    root.table("clocks")
        .freeTexts()
        .forEach(
            (who, rate) -> {
              if (!PROCESS.matcher(who).matches() || !rate.matches("(0\\.[5-9]\\d*|1(\\.\\d+)?)")) {
                file.fault(
                    "clocks." + who,
                    "found "
                        + rate
                        + ", wanted a rate from 0.5 to under 2 for a process such as g0 or s1");
              } else {
                clocks.put(who, Double.parseDouble(rate));
              }
            });
    List<Step> steps = new ArrayList<>();
    Set<String> called = new HashSet<>(ROLES);
    for (Toml.Table step : root.tables("steps")) {
      Step read =
          new Step(
              step.choice("await", Await.NOTHING, Await.class),
              (int) step.whole("count", 1, 1, 1000),
              (int) step.whole("scans", 1, 1, 1000),
              step.text("of", "owner"),
              step.choice("do", Do.NOTHING, Do.class),
              step.text("who", ""),
              step.text("as", ""),
              step.text("to", ""),
              step.choice("fault", null, FaultyLink.Fault.class),
              step.whole("ms", 0, 0, 60_000),
              step.whole("jitter_ms", 0, 0, 60_000),
              step.whole("bytes_s", 400, 1, 1 << 30),
              step.number("clock", 1, 0.5, 2));
      boolean link = read.act() == Do.LINK;
      if (link && (read.fault() == null || read.to().isEmpty())) {
        step.fault("do", "a link needs `to` and `fault`");
      }
      boolean needs =
          link
              || read.act() != Do.NOTHING
                  && read.act() != Do.SCANS
                  && read.act() != Do.LITTER
                  && read.act() != Do.MOVE_ANYWHERE;
      who(step, "who", needs || !read.who().isEmpty() ? read.who() : "all", called);
      who(step, "of", read.of().isEmpty() ? "all" : read.of(), called);
      who(step, "to", link ? read.to() : "all", called);
      if (!read.as().isEmpty()
          && (!NAME.matcher(read.as()).matches() || ROLES.contains(read.as()))) {
        step.fault(
            "as",
            "found '"
                + read.as()
                + "', wanted a name of small letters that is none of "
                + String.join(", ", new TreeSet<>(ROLES)));
      }
      called.add(read.as());
      steps.add(read);
    }
    Script script =
        new Script(
            name,
            root.text("about", ""),
            (int) root.whole("stewards", 3, 1, 5),
            (int) root.whole("members", 3, 1, 12),
            root.whole("lease_ms", 1000, 200, 60_000),
            root.number("drift", 0.05, 0, 0.2),
            clocks,
            steps);
    if (script.stewards() % 2 == 0) {
      root.fault("stewards", "found " + script.stewards() + ", wanted an odd number");
    }
    file.check();
    return script;
  }

  /** Who is called so has to be a process, a role, or somebody whom a step before gave the name. */
  private static void who(Toml.Table step, String key, String who, Set<String> called) {
    if (!PROCESS.matcher(who).matches() && !called.contains(who)) {
      String near = Toml.nearest(who, called);
      step.fault(
          key,
          "found '"
              + who
              + "', wanted a process such as g0 or s1, a name given by `as` before, or one of "
              + String.join(", ", new TreeSet<>(ROLES))
              + (near == null ? "" : "; did you mean \"" + near + "\"?"));
    }
  }

  /** As a file that {@link #read} takes. */
  public String toml() {
    StringBuilder text =
        new StringBuilder(
            "about = \""
                + about
                + "\"\nstewards = "
                + stewards
                + "\nmembers = "
                + members
                + "\nlease_ms = "
                + leaseMs
                + "\ndrift = "
                + drift
                + "\n");
    if (!clocks.isEmpty()) {
      text.append("\n[clocks]\n");
      clocks.forEach((who, rate) -> text.append(who).append(" = ").append(rate).append('\n'));
    }
    for (Step step : steps) {
      text.append("\n[[steps]]\n");
      put(text, "await", word(step.await()), step.await() != Await.NOTHING);
      put(text, "of", step.of(), !step.of().isEmpty());
      text.append(step.count() == 1 ? "" : "count = " + step.count() + "\n");
      text.append(step.scans() == 1 ? "" : "scans = " + step.scans() + "\n");
      put(text, "do", word(step.act()), step.act() != Do.NOTHING);
      put(text, "who", step.who(), !step.who().isEmpty());
      put(text, "as", step.as(), !step.as().isEmpty());
      put(text, "to", step.to(), !step.to().isEmpty());
      if (step.fault() != null) {
        put(text, "fault", word(step.fault()), true);
        text.append("ms = ")
            .append(step.ms())
            .append("\njitter_ms = ")
            .append(step.jitterMs())
            .append("\nbytes_s = ")
            .append(step.bytesPerS())
            .append('\n');
      }
      text.append(step.clock() == 1 ? "" : "clock = " + step.clock() + "\n");
    }
    return text.toString();
  }

  private static String word(Enum<?> one) {
    return one.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void put(StringBuilder text, String key, String value, boolean there) {
    text.append(there ? key + " = \"" + value + "\"\n" : "");
  }
}
