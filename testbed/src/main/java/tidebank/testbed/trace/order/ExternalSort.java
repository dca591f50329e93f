package tidebank.testbed.trace.order;

import com.github.luben.zstd.ZstdInputStream;
import com.github.luben.zstd.ZstdOutputStream;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.PriorityQueue;
import tidebank.testbed.trace.TraceRow;

/**
 * Sorts any number of rows in bounded memory: runs are made by replacement selection (twice as long
 * as memory on average, one run where the input is nearly in order), spilled to files, and merged
 * at the end, in several passes where there are more runs than may be open at once. What fits in
 * memory never touches the disk.
 */
public final class ExternalSort implements Closeable {
  private static final int FAN_IN = 64;
  private static final int LEVEL = 1;
  private static final int BUFFER = 1 << 16;

  private record Ranked(int run, Item item) implements Comparable<Ranked> {
    @Override
    public int compareTo(Ranked other) {
      int byRun = Integer.compare(run, other.run);
      return byRun != 0 ? byRun : Item.ORDER.compare(item, other.item);
    }
  }

  private final int memoryRows;
  private final Path folder;
  private final PriorityQueue<Ranked> held = new PriorityQueue<>();
  private final List<Path> runs = new ArrayList<>();
  private final List<Closeable> open = new ArrayList<>();
  private DataOutputStream out;
  private int run;
  private Item last;
  private long rows;
  private int files;
  private long spilledBytes;

  /** With so many rows in memory, spilling into this folder, which is made when it is needed. */
  public ExternalSort(int memoryRows, Path folder) {
    this.memoryRows = Math.max(1, memoryRows);
    this.folder = folder;
  }

  public void add(Item item) throws IOException {
    rows++;
    held.add(new Ranked(last != null && Item.ORDER.compare(item, last) < 0 ? run + 1 : run, item));
    if (held.size() > memoryRows) {
      spillOne();
    }
  }

  private void spillOne() throws IOException {
    Ranked least = held.poll();
    if (out == null || least.run != run) {
      closeRun();
      run = least.run;
      out = create();
    }
    last = least.item;
    write(out, least.item);
  }

  private DataOutputStream create() throws IOException {
    Files.createDirectories(folder);
    Path file = folder.resolve("run-" + files++);
    runs.add(file);
    return new DataOutputStream(
        new BufferedOutputStream(new ZstdOutputStream(Files.newOutputStream(file), LEVEL), BUFFER));
  }

  private void closeRun() throws IOException {
    if (out != null) {
      out.close();
      spilledBytes += Files.size(runs.get(runs.size() - 1));
      out = null;
    }
  }

  public long rows() {
    return rows;
  }

  /** How many runs went to disk. */
  public int spilledRuns() {
    return files;
  }

  public long spilledBytes() {
    return spilledBytes;
  }

  /** Ends the input; the rows in order. To be asked once. */
  public Iterator<Item> sorted() throws IOException {
    if (runs.isEmpty()) {
      List<Item> all = new ArrayList<>(held.size());
      while (!held.isEmpty()) {
        all.add(held.poll().item);
      }
      return all.iterator();
    }
    while (!held.isEmpty()) {
      spillOne();
    }
    closeRun();
    while (runs.size() > FAN_IN) {
      List<Path> some = new ArrayList<>(runs.subList(0, FAN_IN));
      runs.subList(0, FAN_IN).clear();
      try (DataOutputStream merged = create()) {
        Iterator<Item> in = merge(some);
        while (in.hasNext()) {
          write(merged, in.next());
        }
      }
      for (Path path : some) {
        Files.delete(path);
      }
    }
    return merge(runs);
  }

  private Iterator<Item> merge(List<Path> files) throws IOException {
    List<Iterator<Item>> sources = new ArrayList<>();
    for (Path file : files) {
      sources.add(new RunReader(file));
    }
    return Merge.of(sources, Item.ORDER);
  }

  private static void write(DataOutputStream out, Item item) throws IOException {
    TraceRow row = item.row();
    out.writeLong(row.timeUs());
    out.writeUTF(row.tableType());
    out.writeInt(row.depot());
    out.writeInt(row.parts());
    out.writeUTF(row.key());
    out.writeDouble(row.weight());
    out.writeLong(row.workUs());
    out.writeUTF(row.account());
    out.writeLong(item.event());
  }

  private final class RunReader implements Iterator<Item> {
    private final DataInputStream in;
    private Item next;

    RunReader(Path file) throws IOException {
      in =
          new DataInputStream(
              new BufferedInputStream(new ZstdInputStream(Files.newInputStream(file)), BUFFER));
      open.add(in);
      next = read();
    }

    private Item read() {
      try {
        long time;
        try {
          time = in.readLong();
        } catch (EOFException end) {
          in.close();
          open.remove(in);
          return null;
        }
        return new Item(
            new TraceRow(
                time,
                in.readUTF(),
                in.readInt(),
                in.readInt(),
                in.readUTF(),
                in.readDouble(),
                in.readLong(),
                in.readUTF()),
            in.readLong());
      } catch (IOException fault) {
        throw new UncheckedIOException(fault);
      }
    }

    @Override
    public boolean hasNext() {
      return next != null;
    }

    @Override
    public Item next() {
      if (next == null) {
        throw new NoSuchElementException();
      }
      Item item = next;
      next = read();
      return item;
    }
  }

  /** Removes what it left on disk. */
  @Override
  public void close() throws IOException {
    for (Closeable one : new ArrayList<>(open)) {
      one.close();
    }
    closeRun();
    for (Path file : runs) {
      Files.deleteIfExists(file);
    }
    Files.deleteIfExists(folder);
  }
}
