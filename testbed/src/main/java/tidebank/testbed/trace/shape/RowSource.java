package tidebank.testbed.trace.shape;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.function.Function;
import java.util.function.Predicate;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.store.TraceFile;

/**
 * Rows that can be opened again and again, at any window, in order of time: a file, or a shape of
 * other rows. What a shape gives depends on its rows and its seed only.
 */
public interface RowSource {
  /** How long they go on, in microseconds; all times are below it. */
  long lengthUs();

  /** How many they are, as far as is known without reading them. */
  double count();

  /** The rows from a time on and before another; their times stay as they are. */
  Iterator<TraceRow> open(long fromUs, long untilUs);

  default Iterator<TraceRow> open() {
    return open(0, lengthUs());
  }

  default double ratePerS() {
    return count() / Math.max(1e-6, lengthUs() / 1e6);
  }

  /** A file of the normal form. */
  static RowSource file(Path path) throws IOException {
    var meta = TraceFile.meta(path);
    return new RowSource() {
      @Override
      public long lengthUs() {
        return meta.endUs() + 1;
      }

      @Override
      public double count() {
        return meta.rows();
      }

      @Override
      public Iterator<TraceRow> open(long fromUs, long untilUs) {
        try {
          TraceFile.Reader reader = new TraceFile.Reader(path, fromUs, untilUs);
          return new Iterator<>() {
            private boolean open = true;

            @Override
            public boolean hasNext() {
              boolean more = reader.hasNext();
              if (!more && open) {
                open = false;
                try {
                  reader.close();
                } catch (IOException fault) {
                  throw new UncheckedIOException(fault);
                }
              }
              return more;
            }

            @Override
            public TraceRow next() {
              return reader.next().row();
            }
          };
        } catch (IOException fault) {
          throw new UncheckedIOException(fault);
        }
      }
    };
  }

  /** Rows in memory, in order. */
  static RowSource of(List<TraceRow> rows, long lengthUs) {
    return made(
        lengthUs,
        rows.size(),
        (from, until) ->
            rows.stream().filter(row -> row.timeUs() >= from && row.timeUs() < until).iterator());
  }

  /** What opens a window. */
  interface Opener {
    Iterator<TraceRow> open(long fromUs, long untilUs);
  }

  static RowSource made(long lengthUs, double count, Opener opener) {
    return new RowSource() {
      @Override
      public long lengthUs() {
        return lengthUs;
      }

      @Override
      public double count() {
        return count;
      }

      @Override
      public Iterator<TraceRow> open(long fromUs, long untilUs) {
        return opener.open(fromUs, untilUs);
      }
    };
  }

  static Iterator<TraceRow> mapped(Iterator<TraceRow> rows, Function<TraceRow, TraceRow> to) {
    return new Iterator<>() {
      @Override
      public boolean hasNext() {
        return rows.hasNext();
      }

      @Override
      public TraceRow next() {
        return to.apply(rows.next());
      }
    };
  }

  static Iterator<TraceRow> filtered(Iterator<TraceRow> rows, Predicate<TraceRow> kept) {
    return new Iterator<>() {
      private TraceRow next = advance();

      private TraceRow advance() {
        while (rows.hasNext()) {
          TraceRow row = rows.next();
          if (kept.test(row)) {
            return row;
          }
        }
        return null;
      }

      @Override
      public boolean hasNext() {
        return next != null;
      }

      @Override
      public TraceRow next() {
        if (next == null) {
          throw new NoSuchElementException();
        }
        TraceRow row = next;
        next = advance();
        return row;
      }
    };
  }

  /** One stream after another; the next is opened when the one before has ended. */
  static Iterator<TraceRow> chained(int count, Function<Integer, Iterator<TraceRow>> opened) {
    return new Iterator<>() {
      private int at;
      private Iterator<TraceRow> now = count > 0 ? opened.apply(0) : null;

      @Override
      public boolean hasNext() {
        while (now != null && !now.hasNext()) {
          now = ++at < count ? opened.apply(at) : null;
        }
        return now != null;
      }

      @Override
      public TraceRow next() {
        if (!hasNext()) {
          throw new NoSuchElementException();
        }
        return now.next();
      }
    };
  }
}
