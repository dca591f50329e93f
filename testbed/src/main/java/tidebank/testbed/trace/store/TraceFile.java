package tidebank.testbed.trace.store;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.NoSuchElementException;
import org.apache.hadoop.conf.Configuration;
import org.apache.parquet.ParquetReadOptions;
import org.apache.parquet.conf.ParquetConfiguration;
import org.apache.parquet.conf.PlainParquetConfiguration;
import org.apache.parquet.filter2.compat.FilterCompat;
import org.apache.parquet.filter2.predicate.FilterApi;
import org.apache.parquet.filter2.predicate.FilterPredicate;
import org.apache.parquet.filter2.predicate.Operators.LongColumn;
import org.apache.parquet.hadoop.ParquetFileReader;
import org.apache.parquet.hadoop.ParquetFileWriter;
import org.apache.parquet.hadoop.ParquetReader;
import org.apache.parquet.hadoop.ParquetWriter;
import org.apache.parquet.hadoop.api.ReadSupport;
import org.apache.parquet.hadoop.api.WriteSupport;
import org.apache.parquet.hadoop.metadata.CompressionCodecName;
import org.apache.parquet.io.InputFile;
import org.apache.parquet.io.LocalInputFile;
import org.apache.parquet.io.LocalOutputFile;
import org.apache.parquet.io.api.Binary;
import org.apache.parquet.io.api.Converter;
import org.apache.parquet.io.api.GroupConverter;
import org.apache.parquet.io.api.PrimitiveConverter;
import org.apache.parquet.io.api.RecordConsumer;
import org.apache.parquet.io.api.RecordMaterializer;
import org.apache.parquet.schema.LogicalTypeAnnotation;
import org.apache.parquet.schema.MessageType;
import org.apache.parquet.schema.PrimitiveType.PrimitiveTypeName;
import org.apache.parquet.schema.Types;
import tidebank.testbed.columns.ZstdCodecs;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.order.Item;

/**
 * The normal form on disk: Parquet, rows in order of time, pages with checksums, and a description
 * in its footer. The page index over the time column opens a window in the middle without the rest
 * being read. A file is written beside its name and takes it when it is whole.
 */
public final class TraceFile {
  private static final long GROUP_BYTES = 16L << 20;
  private static final int PAGE_BYTES = 64 << 10;
  private static final int PAGE_ROWS = 10_000;
  private static final LongColumn TIME = FilterApi.longColumn("time_us");

  private static final MessageType SCHEMA =
      Types.buildMessage()
          .required(PrimitiveTypeName.INT64)
          .named("time_us")
          .required(PrimitiveTypeName.BINARY)
          .as(LogicalTypeAnnotation.stringType())
          .named("table_type")
          .required(PrimitiveTypeName.INT32)
          .named("depot")
          .required(PrimitiveTypeName.INT32)
          .named("parts")
          .required(PrimitiveTypeName.BINARY)
          .as(LogicalTypeAnnotation.stringType())
          .named("key")
          .required(PrimitiveTypeName.DOUBLE)
          .named("weight")
          .required(PrimitiveTypeName.INT64)
          .named("work_us")
          .required(PrimitiveTypeName.BINARY)
          .as(LogicalTypeAnnotation.stringType())
          .named("account")
          .required(PrimitiveTypeName.INT64)
          .named("event")
          .named("trace");

  private TraceFile() {}

  /**
   * Writes rows that come in order. Times are the trace's own; the description notes where it
   * begins.
   */
  public static final class Writer implements Closeable {
    private final Path path;
    private final Path beside;
    private final Support support;
    private final ParquetWriter<Item> writer;
    private Item last;
    private boolean closed;

    public Writer(Path path, TraceMeta meta) throws IOException {
      this.path = path;
      Path parent = path.toAbsolutePath().getParent();
      Files.createDirectories(parent);
      beside = parent.resolve("." + path.getFileName() + ".part");
      support = new Support(meta);
      writer =
          new Builder(beside, support)
              .withConf(new PlainParquetConfiguration())
              .withWriteMode(ParquetFileWriter.Mode.OVERWRITE)
              .withCompressionCodec(CompressionCodecName.ZSTD)
              .withRowGroupSize(GROUP_BYTES)
              .withPageSize(PAGE_BYTES)
              .withPageRowCountLimit(PAGE_ROWS)
              .withPageWriteChecksumEnabled(true)
              .withCodecFactory(new ZstdCodecs())
              .build();
    }

    public void add(Item item) throws IOException {
      if (last != null && item.row().timeUs() < last.row().timeUs()) {
        throw new IllegalStateException("a row out of order at " + item.row().timeUs());
      }
      last = item;
      writer.write(item);
    }

    /** What is noted beside the rows; up to the end, as some of it is known only then. */
    public void meta(TraceMeta meta) {
      support.meta = meta;
    }

    public TraceMeta meta() {
      return support.meta;
    }

    /** Ends the file, which only now takes its name. */
    public TraceMeta finish() throws IOException {
      closed = true;
      writer.close();
      Files.move(beside, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      return support.meta;
    }

    /** Without {@link #finish} nothing is left of it. */
    @Override
    public void close() throws IOException {
      if (!closed) {
        closed = true;
        writer.close();
        Files.deleteIfExists(beside);
      }
    }
  }

  private static final class Builder extends ParquetWriter.Builder<Item, Builder> {
    private final Support support;

    Builder(Path path, Support support) {
      super(new LocalOutputFile(path));
      this.support = support;
    }

    @Override
    protected Builder self() {
      return this;
    }

    @Override
    protected WriteSupport<Item> getWriteSupport(Configuration conf) {
      return support;
    }

    @Override
    protected WriteSupport<Item> getWriteSupport(ParquetConfiguration conf) {
      return support;
    }
  }

  private static final class Support extends WriteSupport<Item> {
    private final Map<String, Binary> words = new HashMap<>();
    private final RowDigest digest = new RowDigest();
    private TraceMeta meta;
    private RecordConsumer to;
    private long rows;
    private long first;
    private long last;

    Support(TraceMeta meta) {
      this.meta = meta;
    }

    @Override
    public WriteContext init(Configuration conf) {
      return new WriteContext(SCHEMA, new HashMap<>());
    }

    @Override
    public WriteContext init(ParquetConfiguration conf) {
      return new WriteContext(SCHEMA, new HashMap<>());
    }

    @Override
    public void prepareForWrite(RecordConsumer consumer) {
      to = consumer;
    }

    @Override
    public void write(Item item) {
      TraceRow row = item.row();
      if (rows++ == 0) {
        first = row.timeUs();
      }
      last = row.timeUs();
      digest.add(item);
      to.startMessage();
      whole(0, row.timeUs());
      text(1, word(row.tableType()));
      number(2, row.depot());
      number(3, row.parts());
      text(4, Binary.fromString(row.key()));
      to.startField("weight", 5);
      to.addDouble(row.weight());
      to.endField("weight", 5);
      whole(6, row.workUs());
      text(7, word(row.account()));
      whole(8, item.event());
      to.endMessage();
    }

    private Binary word(String text) {
      // Table types are few; accounts may be many, and are not kept beyond a few thousand.
      Binary known = words.get(text);
      if (known == null) {
        known = Binary.fromConstantByteArray(text.getBytes(StandardCharsets.UTF_8));
        if (words.size() < 4096) {
          words.put(text, known);
        }
      }
      return known;
    }

    private void whole(int field, long value) {
      String name = SCHEMA.getFieldName(field);
      to.startField(name, field);
      to.addLong(value);
      to.endField(name, field);
    }

    private void number(int field, int value) {
      String name = SCHEMA.getFieldName(field);
      to.startField(name, field);
      to.addInteger(value);
      to.endField(name, field);
    }

    private void text(int field, Binary value) {
      String name = SCHEMA.getFieldName(field);
      to.startField(name, field);
      to.addBinary(value);
      to.endField(name, field);
    }

    @Override
    public FinalizedWriteContext finalizeWrite() {
      meta = meta.told(first, last - first, rows, digest.hex());
      return new FinalizedWriteContext(Map.of(TraceMeta.KEY, meta.json()));
    }
  }

  /** The description of a file; a file that is none of ours, or cut, is refused. */
  public static TraceMeta meta(Path path) throws IOException {
    return meta(new LocalInputFile(path), path);
  }

  private static TraceMeta meta(InputFile file, Path path) throws IOException {
    if (!Files.isRegularFile(path)) {
      throw new IOException(path + ": there is no such file");
    }
    String json;
    try (ParquetFileReader reader =
        ParquetFileReader.open(
            file,
            ParquetReadOptions.builder(new PlainParquetConfiguration())
                .withCodecFactory(new ZstdCodecs())
                .build())) {
      json = reader.getFileMetaData().getKeyValueMetaData().get(TraceMeta.KEY);
    } catch (RuntimeException | IOException fault) {
      throw new CorruptTraceException(
          path + ": no whole Parquet file: " + fault.getMessage(), fault);
    }
    if (json == null) {
      throw new CorruptTraceException(path + ": a Parquet file, but no trace of ours");
    }
    TraceMeta meta = TraceMeta.read(json);
    if (meta.schema() > TraceMeta.SCHEMA) {
      throw new CorruptTraceException(
          path + ": its form " + meta.schema() + " is newer than the known " + TraceMeta.SCHEMA);
    }
    return meta;
  }

  /** A file's rows, in order. Times count from the trace's first row. */
  public static final class Reader implements Iterator<Item>, Closeable {
    private final Path path;
    private final TraceMeta meta;
    private final ParquetReader<Item> reader;
    private final RowDigest digest;
    private final long from;
    private final long until;
    private long rows;
    private Item next;

    /** All rows; damage is told at the end at the latest. */
    public Reader(Path path) throws IOException {
      this(path, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    /** The rows from a time on and before another, both from the trace's start. */
    public Reader(Path path, long fromUs, long untilUs) throws IOException {
      this(path, new LocalInputFile(path), fromUs, untilUs);
    }

    Reader(Path path, InputFile file, long fromUs, long untilUs) throws IOException {
      this.path = path;
      meta = TraceFile.meta(file, path);
      boolean all = fromUs <= 0 && untilUs > meta.endUs();
      digest = all ? new RowDigest() : null;
      from = fromUs;
      until = untilUs;
      FilterPredicate window =
          FilterApi.and(
              FilterApi.gtEq(TIME, meta.originUs() + Math.max(0, fromUs)),
              FilterApi.lt(TIME, meta.originUs() + Math.min(untilUs, meta.endUs() + 1)));
      ParquetReader.Builder<Item> builder =
          new ReaderBuilder(file).usePageChecksumVerification().withCodecFactory(new ZstdCodecs());
      reader = (all ? builder : builder.withFilter(FilterCompat.get(window))).build();
      advance();
    }

    public TraceMeta meta() {
      return meta;
    }

    private void advance() {
      try {
        next = reader.read();
      } catch (IOException | RuntimeException fault) {
        throw new UncheckedIOException(
            new CorruptTraceException(
                path + ": damaged after row " + rows + ": " + fault.getMessage(), fault));
      }
      if (next != null) {
        rows++;
        if (digest != null) {
          digest.add(next);
        }
      } else if (digest != null
          && (rows != meta.rows() || !digest.hex().equals(meta.rowsDigest()))) {
        throw new UncheckedIOException(
            new CorruptTraceException(
                path
                    + ": damaged: "
                    + rows
                    + " rows of "
                    + meta.rows()
                    + (rows == meta.rows() ? ", but others than were written" : "")));
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
      advance();
      return new Item(item.row().at(item.row().timeUs() - meta.originUs()), item.event());
    }

    @Override
    public void close() throws IOException {
      reader.close();
    }
  }

  private static final class ReaderBuilder extends ParquetReader.Builder<Item> {
    ReaderBuilder(InputFile file) {
      super(file, new PlainParquetConfiguration());
    }

    @Override
    protected ReadSupport<Item> getReadSupport() {
      return new ReadSupport<>() {
        @Override
        public ReadContext init(
            ParquetConfiguration conf, Map<String, String> meta, MessageType schema) {
          return new ReadContext(SCHEMA);
        }

        @Override
        public RecordMaterializer<Item> prepareForRead(
            Configuration conf, Map<String, String> meta, MessageType schema, ReadContext context) {
          return new Rows();
        }

        @Override
        public RecordMaterializer<Item> prepareForRead(
            ParquetConfiguration conf,
            Map<String, String> meta,
            MessageType schema,
            ReadContext context) {
          return new Rows();
        }
      };
    }
  }

  /** Puts a row together out of its columns. */
  private static final class Rows extends RecordMaterializer<Item> {
    private final long[] wholes = new long[9];
    private final String[] texts = new String[9];
    private double weight;
    private final Map<Binary, String> words = new HashMap<>();

    private final Converter[] converters = new Converter[9];
    private final GroupConverter root =
        new GroupConverter() {
          @Override
          public Converter getConverter(int field) {
            return converters[field];
          }

          @Override
          public void start() {}

          @Override
          public void end() {}
        };

    Rows() {
      for (int i = 0; i < converters.length; i++) {
        int field = i;
        converters[i] =
            new PrimitiveConverter() {
              @Override
              public void addLong(long value) {
                wholes[field] = value;
              }

              @Override
              public void addInt(int value) {
                wholes[field] = value;
              }

              @Override
              public void addDouble(double value) {
                weight = value;
              }

              @Override
              public void addBinary(Binary value) {
                texts[field] = field == 4 ? value.toStringUsingUTF8() : word(value);
              }
            };
      }
    }

    private String word(Binary value) {
      String known = words.get(value);
      if (known == null) {
        known = value.toStringUsingUTF8();
        if (words.size() < 4096) {
          words.put(value.copy(), known);
        }
      }
      return known;
    }

    @Override
    public Item getCurrentRecord() {
      return new Item(
          new TraceRow(
              wholes[0],
              texts[1],
              (int) wholes[2],
              (int) wholes[3],
              texts[4],
              weight,
              wholes[6],
              texts[7]),
          wholes[8]);
    }

    @Override
    public GroupConverter getRootConverter() {
      return root;
    }
  }
}
