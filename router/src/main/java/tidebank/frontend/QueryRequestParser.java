package tidebank.frontend;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBufInputStream;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tidebank.model.Settings;
import tidebank.runtime.QueryRequest;
import tidebank.runtime.QueryRequest.ShardRange;

/** Reads and checks a scan. */
final class QueryRequestParser {
  /** A request that is not a scan of this protocol, and the status that says so. */
  static final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    final int status;

    InvalidRequestException(int status, String text) {
      super(text, null, false, false);
      this.status = status;
    }
  }

  private static final Pattern ID = Pattern.compile("[A-Za-z0-9_-]{1,64}");
  private static final Pattern TIME_LEFT = Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,6})?)([mu])");

  /** How far each share may be off by rounding. */
  private static final double ROUNDING = 0.0005;

  private final ObjectMapper mapper =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();
  private final Settings settings;

  QueryRequestParser(Settings settings) {
    this.settings = settings;
  }

  /**
   * Reads the scan of a request whose head came at {@code headAt}, from when its client's time
   * runs, and whose last byte came at {@code wholeAt}, from when its service counts.
   */
  QueryRequest read(FullHttpRequest request, String type, long headAt, long wholeAt)
      throws InvalidRequestException {
    if (!settings.queryClasses().containsKey(type)) {
      throw new InvalidRequestException(404, "unknown table type");
    }
    String id = request.headers().get("X-Correlation-Id", "");
    if (!ID.matcher(id).matches()) {
      throw new InvalidRequestException(400, "X-Correlation-Id is missing or no plain id");
    }
    long limitAt = headAt + timeLeft(request.headers().get("X-Time-Left", ""));
    JsonNode body;
    try (InputStream in = new ByteBufInputStream(request.content())) {
      body = mapper.readTree(in);
    } catch (IOException fault) {
      throw new InvalidRequestException(400, "the body is no JSON");
    }
    JsonNode predicate = body.path("predicate");
    if (!predicate.isTextual()) {
      throw new InvalidRequestException(400, "predicate is missing or no text");
    }
    // No client waits longer than its table type's query timeout, whatever it says.
    limitAt = Math.min(limitAt, headAt + settings.queryClasses().get(type).timeoutUs());
    return new QueryRequest(
        id,
        type,
        request.headers().get("X-Account", ""),
        wholeAt,
        limitAt,
        request.headers().get("X-Repeat", "").equals("1"),
        request.headers().get("X-Session-Key", ""),
        predicate.textValue().getBytes(UTF_8),
        ranges(body.path("ranges")));
  }

  private static long timeLeft(String text) throws InvalidRequestException {
    Matcher parts = TIME_LEFT.matcher(text);
    if (!parts.matches()) {
      throw new InvalidRequestException(400, "X-Time-Left is missing or no time such as 480m");
    }
    long us =
        Math.round(Double.parseDouble(parts.group(1)) * (parts.group(2).equals("m") ? 1000 : 1));
    if (us <= 0) {
      throw new InvalidRequestException(400, "X-Time-Left is no time above 0");
    }
    return us;
  }

  private List<ShardRange> ranges(JsonNode list) throws InvalidRequestException {
    if (!list.isArray() || list.isEmpty()) {
      throw new InvalidRequestException(400, "ranges is missing or empty");
    }
    List<ShardRange> ranges = new ArrayList<>(list.size());
    Set<Integer> seen = new HashSet<>();
    double sum = 0;
    for (JsonNode range : list) {
      JsonNode shard = range.path("range");
      double weight = range.path("portion").isNumber() ? range.path("portion").doubleValue() : -1;
      if (!shard.isIntegralNumber()
          || !shard.canConvertToInt()
          || shard.intValue() < 0
          || shard.intValue() >= settings.layout().shards()) {
        throw new InvalidRequestException(400, "range is no known shard");
      }
      if (!seen.add(shard.intValue())) {
        throw new InvalidRequestException(400, "a range stands twice");
      }
      if (!(weight >= 0 && weight <= 1)) {
        throw new InvalidRequestException(400, "portion is no share from 0 to 1");
      }
      sum += weight;
      ranges.add(new ShardRange(shard.intValue(), weight, range.path("hash").asText("")));
    }
    if (!(Math.abs(sum - 1) <= ROUNDING * (1 + ranges.size()))) {
      throw new InvalidRequestException(400, "the portions do not make one whole");
    }
    return ranges;
  }
}
