package tidebank.testbed.trace.read;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongConsumer;
import tidebank.testbed.trace.RowAccounting;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.layout.Layout;
import tidebank.testbed.trace.layout.RawRow;
import tidebank.testbed.trace.layout.RowException;
import tidebank.testbed.trace.mapping.Mapping;
import tidebank.testbed.trace.order.CounterUnwrapper;
import tidebank.testbed.trace.order.DuplicateFilter;
import tidebank.testbed.trace.order.ExternalSort;
import tidebank.testbed.trace.order.Item;
import tidebank.testbed.trace.order.Lateness;
import tidebank.testbed.trace.order.Merge;
import tidebank.testbed.trace.order.Window;
import tidebank.testbed.trace.store.TraceFile;
import tidebank.testbed.trace.store.TraceMeta;

/**
 * From files of CSV to the normal form. Rows that are nearly in order pass a bounded window and are
 * written once; rows behind it are sorted on disk and merged in at the end. Every row is accounted
 * for.
 */
public final class Importer {
  /**
   * How much may be held and how late a row may be.
   *
   * @param windowRows rows of the window
   * @param spillRows rows the sort on disk holds in memory
   * @param lateUs how far behind the newest a row may be, in microseconds of the trace
   */
  public record Limits(int windowRows, int spillRows, long lateUs) {
    public static final Limits DEFAULT = new Limits(50_000, 200_000, Long.MAX_VALUE / 4);
  }

  /** What came of it. */
  public record Result(TraceMeta meta, RowAccounting tally, long sortedOnDisk, int spilledRuns) {}

  private static final int PROGRESS_EVERY = 8192;

  private final Mapping mapping;
  private final Limits limits;
  private final LongConsumer progress;

  /** The progress is told the lines read so far, now and then. */
  public Importer(Mapping mapping, Limits limits, LongConsumer progress) {
    this.mapping = mapping;
    this.limits = limits;
    this.progress = progress;
  }

  /** Reads a source into a file; rejected lines go to another, which may be null. */
  public Result read(Source source, Path to, Path rejectsTo) throws IOException {
    Path first = to.resolveSibling("." + to.getFileName() + ".first");
    Path folder = to.resolveSibling("." + to.getFileName() + ".spill");
    TraceMeta meta = TraceMeta.fresh(source.toString(), "", mapping.digest(), mapping.depots());
    try (Rejects rejects = new Rejects(rejectsTo);
        ExternalSort spill = new ExternalSort(limits.spillRows(), folder)) {
      Pass pass = new Pass(rejects, spill);
      String digest;
      try (TraceFile.Writer writer = new TraceFile.Writer(first, meta)) {
        pass.begin(source, writer);
        digest = source.read(pass);
        pass.window.finish();
        meta =
            new TraceMeta(
                    meta.schema(),
                    meta.source(),
                    digest,
                    meta.mappingDigest(),
                    0,
                    0,
                    0,
                    "",
                    meta.depots(),
                    meta.notes())
                .note("layout", mapping.layout().name());
        if (spill.rows() == 0) {
          pass.tally.check();
          writer.meta(told(meta, pass.tally, 0));
        }
        meta = writer.finish();
      }
      if (pass.tally.rowsOut() == 0 && spill.rows() == 0) {
        throw new IOException(
            source
                + ": no row is a request; rejected "
                + pass.tally.rejected()
                + ", left out "
                + pass.tally.leftOut());
      }
      if (spill.rows() == 0) {
        Files.move(
            first,
            to,
            java.nio.file.StandardCopyOption.REPLACE_EXISTING,
            java.nio.file.StandardCopyOption.ATOMIC_MOVE);
      } else {
        meta = merge(first, spill, to, meta, pass.tally);
      }
      return new Result(meta, pass.tally, spill.rows(), spill.spilledRuns());
    } catch (UncheckedIOException fault) {
      throw fault.getCause();
    } finally {
      Files.deleteIfExists(first);
    }
  }

  private static TraceMeta told(TraceMeta meta, RowAccounting tally, long onDisk) {
    return meta.note("lines_in", tally.linesIn())
        .note("expanded", tally.expandedRows())
        .note("rejected", tally.rejected())
        .note("left_out", tally.leftOut())
        .note("sorted_on_disk", onDisk);
  }

  /** Stragglers into the first file's rows; what is one event told twice shows only now. */
  private static TraceMeta merge(
      Path first, ExternalSort spill, Path to, TraceMeta meta, RowAccounting tally)
      throws IOException {
    try (TraceFile.Reader inOrder = new TraceFile.Reader(first);
        TraceFile.Writer writer = new TraceFile.Writer(to, meta)) {
      long origin = inOrder.meta().originUs();
      Iterator<Item> absolute =
          new Iterator<>() {
            @Override
            public boolean hasNext() {
              return inOrder.hasNext();
            }

            @Override
            public Item next() {
              Item item = inOrder.next();
              return new Item(item.row().at(item.row().timeUs() + origin), item.event());
            }
          };
      DuplicateFilter once = new DuplicateFilter();
      long twice = 0;
      Iterator<Item> merged = Merge.of(List.of(absolute, spill.sorted()), Item.ORDER);
      while (merged.hasNext()) {
        Item item = merged.next();
        if (once.first(item)) {
          writer.add(item);
        } else {
          twice++;
        }
      }
      // Stragglers were counted in, but not out: they are now, or were told twice.
      for (long row = 0; row < spill.rows() - twice; row++) {
        tally.out();
      }
      for (long row = 0; row < twice; row++) {
        tally.reject("duplicate");
      }
      tally.check();
      writer.meta(told(meta, tally, spill.rows()));
      return writer.finish();
    }
  }

  /** One pass over the lines. */
  private final class Pass implements Source.Lines {
    private final RowAccounting tally = new RowAccounting();
    private final Rejects rejects;
    private final ExternalSort spill;
    private final DuplicateFilter once = new DuplicateFilter();
    private final CounterUnwrapper clock = new CounterUnwrapper(mapping.wrapsAtUs());
    private TraceFile.Writer writer;
    private Window window;
    private Layout.Reader reader;
    private Mapping.Bound bound;
    private boolean headNext;
    private long lines;

    Pass(Rejects rejects, ExternalSort spill) {
      this.rejects = rejects;
      this.spill = spill;
    }

    void begin(Source source, TraceFile.Writer to) throws IOException {
      writer = to;
      window =
          new Window(limits.windowRows(), new Lateness(limits.lateUs()), this::inOrder, spill::add);
      // The columns are known with the first file's header; expressions that learn need a pass of
      // their own.
      Learner learner = new Learner();
      learner.look(source);
    }

    private void inOrder(Item item) throws IOException {
      if (once.first(item)) {
        tally.out();
        writer.add(item);
      } else {
        tally.reject("duplicate");
      }
    }

    @Override
    public void begins(Path file) {
      headNext = mapping.layout().header();
      if (!headNext) {
        reader = null;
      }
    }

    private void open(List<String> header) throws IOException {
      reader = mapping.open(header);
      if (bound == null) {
        bound = mapping.bind(reader.columns());
      }
    }

    @Override
    public boolean line(Path file, long number, List<String> fields) throws IOException {
      if (headNext) {
        headNext = false;
        open(fields);
        return true;
      }
      if (reader == null) {
        open(null);
      }
      tally.in();
      if (++lines % PROGRESS_EVERY == 0) {
        progress.accept(lines);
      }
      try {
        long requests = reader.read(fields, raw -> row(file, number, fields, raw));
        tally.expands(requests);
      } catch (RowException fault) {
        account(file, number, fields, fault);
      }
      return true;
    }

    private void row(Path file, long number, List<String> fields, RawRow raw) {
      try {
        try {
          TraceRow row = bound.map(raw, clock.unwrap(bound.timeUs(raw)));
          long event =
              raw.identity().isEmpty() ? 0 : Hashing.xxh3_64().hashCharsToLong(raw.identity());
          if (window.take(new Item(row, event)) == Lateness.Way.REJECTED) {
            account(file, number, fields, RowException.reject("too-late"));
          }
        } catch (RowException fault) {
          account(file, number, fields, fault);
        }
      } catch (IOException fault) {
        throw new UncheckedIOException(fault);
      }
    }

    private void account(Path file, long number, List<String> fields, RowException fault)
        throws IOException {
      if (fault.bad()) {
        tally.reject(fault.getMessage());
        rejects.add(file, number, fault.getMessage(), fields);
      } else {
        tally.leaveOut(fault.getMessage());
      }
    }

    /** The pass that quantile buckets need before any row can be mapped. */
    private final class Learner implements Source.Lines {
      private boolean head;
      private Layout.Reader columns;

      void look(Source source) throws IOException {
        source.read(this);
        if (bound != null) {
          bound.learned();
        }
      }

      @Override
      public void begins(Path file) {
        head = mapping.layout().header();
        columns = null;
      }

      @Override
      public boolean line(Path file, long number, List<String> fields) throws IOException {
        if (columns == null) {
          columns = mapping.open(head ? fields : null);
          if (bound == null) {
            bound = mapping.bind(columns.columns());
          }
          if (!bound.learns()) {
            return false;
          }
          if (head) {
            return true;
          }
        }
        try {
          columns.read(fields, bound::learn);
        } catch (RowException fault) {
          // The second pass accounts for it.
          return true;
        }
        return true;
      }
    }
  }
}
