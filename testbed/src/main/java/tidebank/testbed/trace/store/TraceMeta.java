package tidebank.testbed.trace.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a normal form says of itself.
 *
 * @param schema version of the form
 * @param source where its rows come from, in words
 * @param sourceDigest SHA-256 over the source's bytes, "" where there is no file
 * @param mappingDigest SHA-256 over the mapping, "" where there is none
 * @param originUs the trace's own time of the first row; rows count from it
 * @param endUs time of the last row, from the origin
 * @param rows how many
 * @param rowsDigest a digest over all rows in order, to tell damage
 * @param depots over how many depots its rows are spread
 * @param notes what else is known: rows in, rejects by cause, how it was shaped
 */
public record TraceMeta(
    int schema,
    String source,
    String sourceDigest,
    String mappingDigest,
    long originUs,
    long endUs,
    long rows,
    String rowsDigest,
    int depots,
    Map<String, String> notes) {
  public static final int SCHEMA = 1;
  static final String KEY = "tidebank.trace";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** For a trace that is about to be written; what only its rows tell is filled in then. */
  public static TraceMeta fresh(
      String source, String sourceDigest, String mappingDigest, int depots) {
    return new TraceMeta(
        SCHEMA, source, sourceDigest, mappingDigest, 0, 0, 0, "", depots, new TreeMap<>());
  }

  public TraceMeta note(String name, Object value) {
    Map<String, String> more = new TreeMap<>(notes);
    more.put(name, String.valueOf(value));
    return new TraceMeta(
        schema,
        source,
        sourceDigest,
        mappingDigest,
        originUs,
        endUs,
        rows,
        rowsDigest,
        depots,
        more);
  }

  TraceMeta told(long origin, long end, long count, String digest) {
    return new TraceMeta(
        schema, source, sourceDigest, mappingDigest, origin, end, count, digest, depots, notes);
  }

  public double seconds() {
    return endUs / 1e6;
  }

  String json() {
    try {
      return JSON.writeValueAsString(this);
    } catch (JsonProcessingException fault) {
      throw new IllegalStateException(fault);
    }
  }

  static TraceMeta read(String json) throws CorruptTraceException {
    try {
      return JSON.readValue(json, TraceMeta.class);
    } catch (JsonProcessingException fault) {
      throw new CorruptTraceException("its description can't be read");
    }
  }
}
