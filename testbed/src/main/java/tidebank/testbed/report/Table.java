package tidebank.testbed.report;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.parquet.conf.PlainParquetConfiguration;
import org.apache.parquet.example.data.Group;
import org.apache.parquet.example.data.simple.SimpleGroupFactory;
import org.apache.parquet.hadoop.ParquetFileWriter;
import org.apache.parquet.hadoop.ParquetWriter;
import org.apache.parquet.hadoop.example.ExampleParquetWriter;
import org.apache.parquet.hadoop.metadata.CompressionCodecName;
import org.apache.parquet.io.LocalOutputFile;
import org.apache.parquet.schema.LogicalTypeAnnotation;
import org.apache.parquet.schema.MessageType;
import org.apache.parquet.schema.PrimitiveType.PrimitiveTypeName;
import org.apache.parquet.schema.Types;
import tidebank.testbed.columns.ZstdCodecs;

/**
 * A Parquet file of plain columns: Long, Integer, Double, Boolean or String, told by the first
 * row's types.
 */
public final class Table implements Closeable {
  private final SimpleGroupFactory groups;
  private final List<String> names;
  private final ParquetWriter<Group> writer;

  /** A table at this path with columns of these names and kinds. */
  public Table(Path path, Map<String, Class<?>> columns) throws IOException {
    Types.MessageTypeBuilder schema = Types.buildMessage();
    for (Map.Entry<String, Class<?>> column : new LinkedHashMap<>(columns).entrySet()) {
      Class<?> kind = column.getValue();
      if (kind == String.class) {
        schema
            .required(PrimitiveTypeName.BINARY)
            .as(LogicalTypeAnnotation.stringType())
            .named(column.getKey());
      } else {
        schema
            .required(
                kind == Long.class
                    ? PrimitiveTypeName.INT64
                    : kind == Integer.class
                        ? PrimitiveTypeName.INT32
                        : kind == Boolean.class
                            ? PrimitiveTypeName.BOOLEAN
                            : PrimitiveTypeName.DOUBLE)
            .named(column.getKey());
      }
    }
    MessageType type = schema.named("rows");
    groups = new SimpleGroupFactory(type);
    names = new ArrayList<>(columns.keySet());
    writer =
        ExampleParquetWriter.builder(new LocalOutputFile(path))
            .withConf(new PlainParquetConfiguration())
            .withType(type)
            .withWriteMode(ParquetFileWriter.Mode.OVERWRITE)
            .withCompressionCodec(CompressionCodecName.ZSTD)
            .withCodecFactory(new ZstdCodecs())
            .build();
  }

  public void add(Object... values) throws IOException {
    Group row = groups.newGroup();
    for (int i = 0; i < values.length; i++) {
      String name = names.get(i);
      Object value = values[i];
      if (value instanceof Long whole) {
        row.append(name, whole.longValue());
      } else if (value instanceof Integer whole) {
        row.append(name, whole.intValue());
      } else if (value instanceof Double number) {
        row.append(name, number.doubleValue());
      } else if (value instanceof Boolean flag) {
        row.append(name, flag.booleanValue());
      } else {
        row.append(name, String.valueOf(value));
      }
    }
    writer.write(row);
  }

  @Override
  public void close() throws IOException {
    writer.close();
  }
}
