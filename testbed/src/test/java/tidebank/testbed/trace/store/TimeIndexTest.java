package tidebank.testbed.trace.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.apache.parquet.io.DelegatingSeekableInputStream;
import org.apache.parquet.io.InputFile;
import org.apache.parquet.io.LocalInputFile;
import org.apache.parquet.io.SeekableInputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.order.Item;

/** A window in the middle opens without the rest being read. */
class TimeIndexTest {
  @TempDir Path folder;

  /** Counts the bytes that are read of a file. */
  private static final class Counting implements InputFile {
    private final InputFile file;
    long read;

    Counting(Path path) {
      file = new LocalInputFile(path);
    }

    @Override
    public long getLength() throws IOException {
      return file.getLength();
    }

    @Override
    public SeekableInputStream newStream() throws IOException {
      SeekableInputStream in = file.newStream();
      return new DelegatingSeekableInputStream(in) {
        @Override
        public long getPos() throws IOException {
          return in.getPos();
        }

        @Override
        public void seek(long to) throws IOException {
          in.seek(to);
        }

        @Override
        public int read() throws IOException {
          read++;
          return in.read();
        }

        @Override
        public int read(byte[] to, int at, int length) throws IOException {
          int count = in.read(to, at, length);
          read += Math.max(0, count);
          return count;
        }

        @Override
        public void readFully(byte[] to, int at, int length) throws IOException {
          in.readFully(to, at, length);
          read += length;
        }

        @Override
        public void readFully(ByteBuffer to) throws IOException {
          read += to.remaining();
          in.readFully(to);
        }
      };
    }
  }

  @Test
  void aHundredthOfATraceIsReadWithLittleMoreThanThat() throws IOException {
    Path path = folder.resolve("t.parquet");
    SplittableRandom chance = new SplittableRandom(1);
    try (TraceFile.Writer writer =
        new TraceFile.Writer(path, TraceMeta.fresh("test", "", "", 24))) {
      for (long i = 0; i < 1_000_000; i++) {
        writer.add(
            new Item(
                new TraceRow(
                    i * 100,
                    "a",
                    chance.nextInt(24),
                    2,
                    "k" + chance.nextInt(100_000),
                    0.5,
                    chance.nextInt(100_000),
                    "x"),
                i + 1));
      }
      writer.finish();
    }
    Counting file = new Counting(path);
    long rows = 0;
    try (TraceFile.Reader reader = new TraceFile.Reader(path, file, 50_000_000, 51_000_000)) {
      for (; reader.hasNext(); reader.next()) {
        rows++;
      }
    }
    assertThat(rows).isEqualTo(10_000);
    assertThat(file.read).isLessThan(Files.size(path) / 10);
  }
}
