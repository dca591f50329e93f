package tidebank.testbed.trace.read;

import com.github.luben.zstd.ZstdInputStream;
import de.siegmar.fastcsv.reader.CsvReader;
import de.siegmar.fastcsv.reader.CsvRecord;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.zip.GZIPInputStream;

/**
 * Files of CSV, plain or packed by gzip or zstd (told by their first bytes, not their names), read
 * one after another.
 */
public final class Source {
  private static final int BUFFER = 1 << 16;

  private final List<Path> files;

  public Source(List<Path> files) {
    this.files = List.copyOf(files);
  }

  /** Takes the lines of all files. */
  public interface Lines {
    /** A file begins. */
    default void begins(Path file) throws IOException {}

    /**
     * A line.
     *
     * @param number its number in its file, from 1
     * @return whether more are wanted
     */
    boolean line(Path file, long number, List<String> fields) throws IOException;
  }

  /** Reads all files; returns a digest over their bytes, "" if the reading was ended early. */
  public String read(Lines to) throws IOException {
    MessageDigest digest = sha();
    for (Path file : files) {
      if (!read(file, digest, to)) {
        return "";
      }
    }
    return HexFormat.of().formatHex(digest.digest());
  }

  private static boolean read(Path file, MessageDigest digest, Lines to) throws IOException {
    if (!Files.isRegularFile(file)) {
      throw new IOException(file + ": there is no such file");
    }
    to.begins(file);
    long[] at = {0};
    try (InputStream raw =
            new DigestInputStream(
                new BufferedInputStream(Files.newInputStream(file), BUFFER), digest);
        InputStream plain = unpacked(raw);
        CsvReader<CsvRecord> reader =
            CsvReader.builder()
                .detectBomHeader(true)
                .ignoreDifferentFieldCount(true)
                .skipEmptyLines(true)
                .ofCsvRecord(new InputStreamReader(plain, StandardCharsets.UTF_8))) {
      for (CsvRecord line : reader) {
        at[0] = line.getStartingLineNumber();
        if (!to.line(file, at[0], noMark(line))) {
          return false;
        }
      }
      // What is behind the packed content still counts for the digest.
      raw.transferTo(java.io.OutputStream.nullOutputStream());
      return true;
    } catch (IOException fault) {
      throw new IOException(
          file + ": cannot be read on after line " + at[0] + ": " + fault.getMessage(), fault);
    } catch (RuntimeException fault) {
      Throwable cause = fault.getCause() instanceof IOException io ? io : fault;
      if (fault instanceof java.io.UncheckedIOException
          || fault.getClass().getName().startsWith("de.siegmar")) {
        throw new IOException(
            file + ": cannot be read on after line " + at[0] + ": " + cause.getMessage(), cause);
      }
      throw fault;
    }
  }

  /** A byte order mark is no part of the first field. */
  private static List<String> noMark(CsvRecord line) {
    List<String> fields = line.getFields();
    if (line.getStartingLineNumber() == 1
        && !fields.isEmpty()
        && fields.get(0).startsWith("\ufeff")) {
      fields = new ArrayList<>(fields);
      fields.set(0, fields.get(0).substring(1));
    }
    return fields;
  }

  /** The content of a stream whose first bytes may say that it is packed. */
  static InputStream unpacked(InputStream raw) throws IOException {
    InputStream marked = raw.markSupported() ? raw : new BufferedInputStream(raw, BUFFER);
    marked.mark(4);
    byte[] first = marked.readNBytes(4);
    marked.reset();
    if (first.length >= 2 && (first[0] & 0xff) == 0x1f && (first[1] & 0xff) == 0x8b) {
      return new GZIPInputStream(marked, BUFFER);
    }
    if (first.length == 4
        && (first[0] & 0xff) == 0x28
        && (first[1] & 0xff) == 0xb5
        && (first[2] & 0xff) == 0x2f
        && (first[3] & 0xff) == 0xfd) {
      return new ZstdInputStream(marked);
    }
    return marked;
  }

  /** The first lines, for a look at what they are. */
  public List<List<String>> first(int lines) throws IOException {
    List<List<String>> found = new ArrayList<>();
    read(
        (file, number, fields) -> {
          found.add(fields);
          return found.size() < lines;
        });
    return found;
  }

  private static MessageDigest sha() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException fault) {
      throw new IllegalStateException(fault);
    }
  }

  @Override
  public String toString() {
    return String.join(", ", files.stream().map(file -> file.getFileName().toString()).toList());
  }
}
