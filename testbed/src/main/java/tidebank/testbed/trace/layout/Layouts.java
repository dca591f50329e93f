package tidebank.testbed.trace.layout;

import static tidebank.testbed.trace.layout.Column.number;
import static tidebank.testbed.trace.layout.Column.text;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/** The layouts of public cluster traces, from what is publicly known of them, and a generic one. */
public final class Layouts {
  private static final long SECOND_US = 1_000_000;
  private static final long MS_US = 1000;

  private static final List<Layout> ALL =
      List.of(
          new Google2011(),
          new Google2019(),
          new AlibabaTask(),
          new AlibabaInstance(),
          new AlibabaCalls(),
          new AzureCounts(),
          new AzureInvocations(),
          new Generic());

  private Layouts() {}

  public static List<Layout> all() {
    return ALL;
  }

  /** The layout of this name, or null. */
  public static Layout named(String name) {
    return ALL.stream().filter(layout -> layout.name().equals(name)).findFirst().orElse(null);
  }

  /** A time of Google's traces, of which two are none. */
  private static long googleTime(FixedLayout.Values values) throws RowException {
    long time = values.whole("time");
    if (time == 0) {
      throw RowException.leaveOut("before-the-trace");
    }
    if (time == Long.MAX_VALUE) {
      throw RowException.leaveOut("after-the-trace");
    }
    if (time < 0) {
      throw RowException.reject("negative-time");
    }
    return time;
  }

  /** Google ClusterData 2011, task_events: no header, microseconds, two times that are none. */
  private static final class Google2011 extends FixedLayout {
    private static final int SUBMIT = 0;

    Google2011() {
      super(
          "google-2011-task-events",
          "Google ClusterData 2011 (version 2), table task_events",
          false,
          List.of(
              number("time", "us", "0: before the trace began, 2^63-1: after it ended").must(),
              number("missing_info", "", "why a record was made up, empty if it was not"),
              text("job_id", "job").must(),
              number("task_index", "", "task within its job").must(),
              text("machine_id", "machine, if placed"),
              number(
                      "event_type",
                      "",
                      "0 submit, 1 schedule, 2 evict, 3 fail, 4 finish, 5 kill, 6 lost, 7 and 8"
                          + " update")
                  .must(),
              text("user", "who submitted, hashed"),
              number("scheduling_class", "", "0 batch to 3 most sensitive to latency"),
              number("priority", "", "0 lowest to 11"),
              number(
                  "cpu_request",
                  "largest machine",
                  "cores asked for, as a share of the largest machine's"),
              number("memory_request", "largest machine", "the same of memory"),
              number("disk_request", "largest machine", "the same of disk"),
              number("different_machines", "", "1: tasks must lie on different machines")));
    }

    @Override
    double looks(Column column, String value) {
      Double number = parsed(value);
      return switch (column.name()) {
        case "event_type" -> number != null && number >= 0 && number <= 8 ? 1 : 0;
        case "scheduling_class" ->
            value.isEmpty() || number != null && number >= 0 && number <= 3 ? 1 : 0;
        case "cpu_request", "memory_request", "disk_request" ->
            value.isEmpty() || number != null && number >= 0 && number <= 1 ? 1 : 0;
        case "job_id" -> number == null ? 0 : 1;
        default -> super.looks(column, value);
      };
    }

    @Override
    RawRow request(Values values) throws RowException {
      long time = googleTime(values);
      if (values.number("event_type") != SUBMIT) {
        throw RowException.leaveOut("no-arrival");
      }
      return values.row(time, values.text("job_id") + "/" + values.text("task_index"));
    }

    @Override
    public String defaultMapping() {
      return mapping(
          name(),
          "when scheduling_class >= 2 then \"network-trace\" else \"depot-manifest\"",
          "job_id",
          "when scheduling_class >= 2 then 6 + bucket(coalesce(cpu_request, 0), 0.01, 0.03, 0.1)"
              + " else 2",
          "job_id",
          "20 + 400 * min(coalesce(cpu_request, 0), 0.5)",
          "coalesce(user, \"\")");
    }
  }

  /** Google 2019, instance_events as exported to CSV, with a header. */
  private static final class Google2019 extends FixedLayout {
    Google2019() {
      super(
          "google-2019-instance-events",
          "Google ClusterData 2019, table instance_events as CSV",
          true,
          List.of(
              number("time", "us", "0: before the trace began, 2^63-1: after it ended").must(),
              text("type", "SUBMIT or 0, QUEUE or 1, ... FINISH or 6, ...").must(),
              text("collection_id", "job or alloc set").must(),
              number("scheduling_class", "", "0 batch to 3 most sensitive to latency"),
              text("missing_type", "why a record was made up, empty if it was not"),
              number("collection_type", "", "0 job, 1 alloc set"),
              number("priority", "", "0 lowest to 450"),
              text("alloc_collection_id", "alloc set it runs in"),
              number("instance_index", "", "instance within its collection").must(),
              text("machine_id", "machine, if placed"),
              number("alloc_instance_index", "", "alloc instance it runs in"),
              number("resource_request_cpus", "largest machine", "cores asked for"),
              number("resource_request_memory", "largest machine", "memory asked for"),
              text("constraint", "placement constraints")));
    }

    @Override
    List<String> aliases(String column) {
      return switch (column) {
        case "resource_request_cpus" -> List.of("resource_request.cpus", "cpus");
        case "resource_request_memory" -> List.of("resource_request.memory", "memory");
        default -> List.of();
      };
    }

    @Override
    RawRow request(Values values) throws RowException {
      long time = googleTime(values);
      String type = values.text("type").toUpperCase(Locale.ROOT);
      if (!type.equals("SUBMIT") && !type.equals("0")) {
        throw RowException.leaveOut("no-arrival");
      }
      return values.row(time, values.text("collection_id") + "/" + values.text("instance_index"));
    }

    @Override
    public String defaultMapping() {
      return mapping(
          name(),
          "when coalesce(priority, 0) >= 200 then \"network-trace\" else \"depot-manifest\"",
          "collection_id",
          "when coalesce(priority, 0) >= 200 then 6 else 2",
          "collection_id",
          "20 + 400 * min(coalesce(resource_request_cpus, 0), 0.5)",
          "\"\"");
    }
  }

  /** Alibaba 2018, batch_task: no header, whole seconds. */
  private static final class AlibabaTask extends FixedLayout {
    AlibabaTask() {
      super(
          "alibaba-2018-batch-task",
          "Alibaba cluster trace 2018, table batch_task",
          false,
          List.of(
              text("task_name", "name; in a DAG its letters and numbers tell what it waits for")
                  .must(),
              number("instance_num", "", "how many instances"),
              text("job_name", "job").must(),
              text("task_type", "1 to 12"),
              text("status", "Terminated, Failed, Running, Waiting, ..."),
              number("start_time", "s", "0 or empty if it never started").must(),
              number("end_time", "s", "0 or empty if it did not end"),
              number("plan_cpu", "hundredths of a core", "asked for by each instance"),
              number("plan_mem", "share of the machine", "asked for by each instance")));
    }

    @Override
    double looks(Column column, String value) {
      return switch (column.name()) {
        case "status" -> value.isEmpty() || value.matches("[A-Z][a-z]+") ? 1 : 0;
        case "job_name" -> value.startsWith("j_") ? 1 : 0.3;
        default -> super.looks(column, value);
      };
    }

    @Override
    RawRow request(Values values) throws RowException {
      long start = started(values);
      return values.row(start, values.text("job_name") + "/" + values.text("task_name"));
    }

    @Override
    public String defaultMapping() {
      return mapping(
          name(),
          "when coalesce(instance_num, 1) > 1 then \"network-trace\" else \"depot-manifest\"",
          "job_name",
          "when coalesce(instance_num, 1) > 1 then min(12, 2 + instance_num) else 2",
          "job_name",
          "20 + min(80, coalesce(plan_cpu, 100) / 4)",
          "\"\"");
    }
  }

  private static long started(FixedLayout.Values values) throws RowException {
    double start = values.number("start_time");
    double end = values.number("end_time");
    if (start < 0) {
      throw RowException.reject("negative-time");
    }
    if (start == 0) {
      throw RowException.leaveOut("never-started");
    }
    if (end > 0 && end < start) {
      throw RowException.reject("negative-duration");
    }
    return Math.round(start * SECOND_US);
  }

  /** Alibaba 2018, batch_instance: no header, whole seconds. */
  private static final class AlibabaInstance extends FixedLayout {
    AlibabaInstance() {
      super(
          "alibaba-2018-batch-instance",
          "Alibaba cluster trace 2018, table batch_instance",
          false,
          List.of(
              text("instance_name", "instance").must(),
              text("task_name", "task it belongs to").must(),
              text("job_name", "job").must(),
              text("task_type", "1 to 12"),
              text("status", "Terminated, Failed, Running, ..."),
              number("start_time", "s", "0 or empty if it never started").must(),
              number("end_time", "s", "0 or empty if it did not end"),
              text("machine_id", "machine"),
              number("seq_no", "", "which try"),
              number("total_seq_no", "", "how many tries"),
              number("cpu_avg", "hundredths of a core", "used on average"),
              number("cpu_max", "hundredths of a core", "used at most"),
              number("mem_avg", "share of the machine", "used on average"),
              number("mem_max", "share of the machine", "used at most")));
    }

    @Override
    double looks(Column column, String value) {
      return switch (column.name()) {
        case "status" -> value.isEmpty() || value.matches("[A-Z][a-z]+") ? 1 : 0;
        case "job_name" -> value.startsWith("j_") ? 1 : 0.3;
        case "machine_id" -> value.isEmpty() || value.startsWith("m_") ? 1 : 0.3;
        default -> super.looks(column, value);
      };
    }

    @Override
    RawRow request(Values values) throws RowException {
      return values.row(
          started(values), values.text("instance_name") + "/" + values.text("seq_no"));
    }

    @Override
    public String defaultMapping() {
      return mapping(
          name(),
          "when matches(task_name, \"[MRJ][0-9].*\") then \"network-trace\" else"
              + " \"depot-manifest\"",
          "job_name",
          "when matches(task_name, \"[MRJ][0-9].*\") then 6 else 2",
          "job_name",
          "20 + min(80, coalesce(cpu_avg, 50) / 4)",
          "\"\"");
    }
  }

  /** Alibaba microservices 2021 and 2022, call graphs: a header, milliseconds. */
  private static final class AlibabaCalls extends FixedLayout {
    AlibabaCalls() {
      super(
          "alibaba-microservices-call-graph",
          "Alibaba microservices traces 2021 and 2022, table MSCallGraph",
          true,
          List.of(
              number("timestamp", "ms", "when the call began").must(),
              text("traceid", "the request all of whose calls share it").must(),
              text("rpcid", "place in the tree of calls, such as 0.1.2").must(),
              text("um", "who calls; (?) or UNKNOWN where lost"),
              text("rpctype", "http, rpc, mc, db, mq, ..."),
              text("dm", "who is called"),
              text("interface", "which call"),
              number("rt", "ms", "response time; below 0 where told from the other side"),
              text("service", "the entry's service (2022)")));
    }

    @Override
    List<String> aliases(String column) {
      return switch (column) {
        case "rpcid" -> List.of("rpc_id");
        case "traceid" -> List.of("trace_id");
        default -> List.of();
      };
    }

    @Override
    RawRow request(Values values) throws RowException {
      double time = values.number("timestamp");
      if (time < 0) {
        throw RowException.reject("negative-time");
      }
      // Both ends of a call tell of it under one id; they differ in the sign of rt.
      return values.row(
          Math.round(time * MS_US), values.text("traceid") + "/" + values.text("rpcid"));
    }

    @Override
    public String defaultMapping() {
      return mapping(
          name(),
          "when rpctype = \"http\" or rpctype = \"rpc\" then \"network-trace\" else"
              + " \"depot-manifest\"",
          "coalesce(dm, interface, traceid)",
          "when rpctype = \"http\" or rpctype = \"rpc\" then 6 else 2",
          "traceid",
          "10 + min(90, abs(coalesce(rt, 0)))",
          "coalesce(service, um, \"\")");
    }
  }

  /**
   * Azure Functions 2019, invocations a minute: 1440 columns, each of which stands for so many
   * arrivals.
   */
  private static final class AzureCounts implements Layout {
    private static final int MINUTES = 1440;
    private static final long MINUTE_US = 60 * SECOND_US;
    private static final List<Column> COLUMNS =
        List.of(
            text("owner", "who owns the app, hashed").must(),
            text("app", "app, hashed").must(),
            text("function", "function, hashed").must(),
            text("trigger", "http, timer, queue, ..."),
            number("minute", "min", "which minute of the day, from 1"),
            number("count", "", "invocations of that minute"));

    @Override
    public String name() {
      return "azure-2019-invocations";
    }

    @Override
    public String title() {
      return "Azure Functions 2019, invocations a minute and function (1440 columns)";
    }

    @Override
    public boolean header() {
      return true;
    }

    @Override
    public List<Column> columns() {
      return COLUMNS;
    }

    @Override
    public Fit fit(List<List<String>> lines) {
      if (lines.isEmpty()) {
        return new Fit(0, List.of("no line"));
      }
      try {
        open(lines.get(0));
      } catch (RowException fault) {
        return new Fit(0, List.of(fault.getMessage()));
      }
      return new Fit(1, List.of("the header names owner, app, function and the minutes from 1 on"));
    }

    @Override
    public Reader open(List<String> header) throws RowException {
      List<String> head = header.stream().map(FixedLayout::plain).toList();
      int owner = head.indexOf("hashowner");
      int app = head.indexOf("hashapp");
      int function = head.indexOf("hashfunction");
      int trigger = head.indexOf("trigger");
      int first = head.indexOf("1");
      if (owner < 0 || app < 0 || function < 0 || first < 0) {
        throw RowException.reject("the header has no HashOwner, HashApp, HashFunction and 1");
      }
      return new Reader() {
        @Override
        public List<Column> columns() {
          return COLUMNS;
        }

        @Override
        public long read(List<String> line, Consumer<RawRow> to) throws RowException {
          if (line.size() < first + 1 || line.size() > first + MINUTES) {
            throw RowException.reject(
                line.size() < first + 1 ? "columns-missing" : "columns-too-many");
          }
          long[] counts = new long[line.size() - first];
          for (int minute = 0; minute < counts.length; minute++) {
            String text = line.get(first + minute).trim();
            Double count = text.isEmpty() ? Double.valueOf(0) : FixedLayout.parsed(text);
            if (count == null || count < 0 || count != Math.rint(count)) {
              throw RowException.reject(count == null ? "no-number-count" : "negative-count");
            }
            counts[minute] = count.longValue();
          }
          String id = line.get(function).trim();
          long all = 0;
          for (int minute = 0; minute < counts.length; minute++) {
            String[] texts = {
              line.get(owner).trim(),
              line.get(app).trim(),
              id,
              trigger < 0 || line.get(trigger).isBlank() ? null : line.get(trigger).trim(),
              String.valueOf(minute + 1),
              String.valueOf(counts[minute])
            };
            double[] numbers = {
              Double.NaN, Double.NaN, Double.NaN, Double.NaN, minute + 1, counts[minute]
            };
            for (long call = 0; call < counts[minute]; call++, all++) {
              long at = minute * MINUTE_US + spread(id, minute, call);
              to.accept(new RawRow(at, id + "/" + minute + "/" + call, texts, numbers));
            }
          }
          return all;
        }
      };
    }

    /**
     * Where in its minute a call falls: uniform, by chance from its own name, so that no order of
     * lines matters.
     */
    private static long spread(String function, long minute, long call) {
      CRC32 crc = new CRC32();
      crc.update(
          (function + "/" + minute + "/" + call).getBytes(java.nio.charset.StandardCharsets.UTF_8));
      return (long) (MINUTE_US * (crc.getValue() / 0x1p32));
    }

    @Override
    public String defaultMapping() {
      return mapping(
          name(),
          "when trigger = \"http\" then \"network-trace\" else \"depot-manifest\"",
          "app",
          "when trigger = \"http\" then 6 else 2",
          "function",
          "30",
          "owner");
    }
  }

  /** Azure Functions 2021: an invocation a line, seconds with decimals, told at its end. */
  private static final class AzureInvocations extends FixedLayout {
    AzureInvocations() {
      super(
          "azure-2021-invocations",
          "Azure Functions invocation trace 2021",
          true,
          List.of(
              text("app", "app, hashed").must(),
              text("func", "function, hashed").must(),
              number("end_timestamp", "s", "when the invocation ended").must(),
              number("duration", "s", "how long it took").must()));
    }

    @Override
    RawRow request(Values values) throws RowException {
      double duration = values.number("duration");
      if (duration < 0) {
        throw RowException.reject("negative-duration");
      }
      long begin = Math.round((values.number("end_timestamp") - duration) * SECOND_US);
      // An invocation that ran when the trace began has a start before it.
      if (begin < 0) {
        throw RowException.leaveOut("before-the-trace");
      }
      return values.row(begin, "");
    }

    @Override
    public String defaultMapping() {
      return mapping(
          name(),
          "when duration > 1 then \"network-trace\" else \"depot-manifest\"",
          "app",
          "when duration > 1 then 6 else 2",
          "func",
          "10 + min(90, 1000 * duration)",
          "app");
    }
  }

  /** Any CSV with a header: a column is a number where the mapping uses it as one. */
  private static final class Generic implements Layout {
    @Override
    public String name() {
      return "generic";
    }

    @Override
    public String title() {
      return "any CSV with a header; the mapping names the column of the time and its unit";
    }

    @Override
    public boolean header() {
      return true;
    }

    @Override
    public List<Column> columns() {
      return List.of();
    }

    @Override
    public Fit fit(List<List<String>> lines) {
      if (lines.size() < 2) {
        return new Fit(0, List.of("fewer than two lines"));
      }
      List<String> head = lines.get(0);
      long named =
          head.stream()
              .filter(name -> !name.isBlank() && FixedLayout.parsed(name) == null)
              .distinct()
              .count();
      boolean even = lines.stream().allMatch(line -> line.size() == head.size());
      double score = named == head.size() && even && head.size() > 1 ? 0.4 : 0;
      return new Fit(
          score, List.of(named + " of " + head.size() + " names in the first line are words"));
    }

    @Override
    public Reader open(List<String> header) throws RowException {
      List<Column> columns = new ArrayList<>();
      Map<String, Integer> seen = new HashMap<>();
      for (String name : header) {
        String plain = FixedLayout.plain(name).replaceAll("[^a-z0-9_]", "_");
        int count = seen.merge(plain, 1, Integer::sum);
        columns.add(
            text(plain.isEmpty() || count > 1 ? plain + "_" + columns.size() : plain, name));
      }
      if (columns.isEmpty()) {
        throw RowException.reject("the header is empty");
      }
      return new Reader() {
        @Override
        public List<Column> columns() {
          return columns;
        }

        @Override
        public long read(List<String> line, Consumer<RawRow> to) throws RowException {
          if (line.size() > columns.size()) {
            throw RowException.reject("columns-too-many");
          }
          String[] texts = new String[columns.size()];
          double[] numbers = new double[columns.size()];
          for (int i = 0; i < texts.length; i++) {
            String value = i < line.size() ? line.get(i).trim() : "";
            Double number = FixedLayout.parsed(value);
            texts[i] = value.isEmpty() ? null : value;
            numbers[i] = number == null ? Double.NaN : number;
          }
          to.accept(new RawRow(0, "", texts, numbers));
          return 1;
        }
      };
    }

    @Override
    public String defaultMapping() {
      return "layout = \"generic\"\n\n"
          + "[time]\n"
          + "value = \"number(timestamp)\"\n"
          + "unit = \"s\"\n\n"
          + "[map]\n"
          + "table_type = \"\\\"depot-manifest\\\"\"\n"
          + "depot = \"hash(timestamp)\"\n";
    }
  }

  private static String mapping(
      String layout,
      String type,
      String depot,
      String parts,
      String key,
      String workMs,
      String account) {
    return "layout = \""
        + layout
        + "\"\n\n[map]\ntable_type = '"
        + type
        + "'\ndepot = '"
        + depot
        + "'\nparts = '"
        + parts
        + "'\nkey = '"
        + key
        + "'\nwork_ms = '"
        + workMs
        + "'\naccount = '"
        + account
        + "'\n";
  }
}
