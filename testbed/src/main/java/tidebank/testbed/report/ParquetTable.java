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
 * Writes a Parquet file with required columns of messageType Long, Integer, Double, Boolean or
 * String.
 */
public final class ParquetTable implements Closeable {
  private final SimpleGroupFactory groups;
  private final List<String> names;
  private final ParquetWriter<Group> writer;

  /**
   * Creates the file, replacing an existing one.
   *
   * @param columns types of the columns by name, in the order of the columns
   */
  public ParquetTable(Path path, Map<String, Class<?>> columns) throws IOException {
    Types.MessageTypeBuilder schema = Types.buildMessage();
    for (Map.Entry<String, Class<?>> column : new LinkedHashMap<>(columns).entrySet()) {
      Class<?> columnType = column.getValue();
      if (columnType == String.class) {
        schema
            .required(PrimitiveTypeName.BINARY)
            .as(LogicalTypeAnnotation.stringType())
            .named(column.getKey());
      } else {
        schema
            .required(
                columnType == Long.class
                    ? PrimitiveTypeName.INT64
                    : columnType == Integer.class
                        ? PrimitiveTypeName.INT32
                        : columnType == Boolean.class
                            ? PrimitiveTypeName.BOOLEAN
                            : PrimitiveTypeName.DOUBLE)
            .named(column.getKey());
      }
    }
    MessageType messageType = schema.named("rows");
    groups = new SimpleGroupFactory(messageType);
    names = new ArrayList<>(columns.keySet());
    writer =
        ExampleParquetWriter.builder(new LocalOutputFile(path))
            .withConf(new PlainParquetConfiguration())
            .withType(messageType)
            .withWriteMode(ParquetFileWriter.Mode.OVERWRITE)
            .withCompressionCodec(CompressionCodecName.ZSTD)
            .withCodecFactory(new ZstdCodecs())
            .build();
  }

  /** Appends a row, with the values in the order of the columns. */
  public void add(Object... values) throws IOException {
    Group row = groups.newGroup();
    for (int i = 0; i < values.length; i++) {
      String name = names.get(i);
      Object value = values[i];
      if (value instanceof Long number) {
        row.append(name, number.longValue());
      } else if (value instanceof Integer number) {
        row.append(name, number.intValue());
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
