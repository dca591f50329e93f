package tidebank.frontend;

import static io.netty.handler.codec.http.HttpResponseStatus.BAD_REQUEST;
import static io.netty.handler.codec.http.HttpResponseStatus.NOT_FOUND;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBufInputStream;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tidebank.model.QueryClass;
import tidebank.model.Settings;
import tidebank.runtime.QueryRequest;
import tidebank.runtime.QueryRequest.ShardTarget;

/**
 * Parses and validates the query of an HTTP request. Maps the names of headers and JSON fields to
 * the terms of {@link QueryRequest}.
 */
final class QueryRequestParser {
  private static final Pattern ID = Pattern.compile("[A-Za-z0-9_-]{1,64}");
  private static final Pattern TIME_LEFT = Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,6})?)([mu])");
  private static final int US_PER_MS = 1000;

  /** How far each weight may be off by rounding. */
  private static final double WEIGHT_TOLERANCE = 0.0005;

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
   * Parses a request.
   *
   * @param className the name of the query class
   * @param beganAt when the first byte arrived, which starts the client's timeout; in microseconds
   * @param completeAt when the last byte arrived, which starts the latency; in microseconds
   * @throws InvalidRequestException if the request is not a valid query
   */
  QueryRequest parse(FullHttpRequest request, String className, long beganAt, long completeAt)
      throws InvalidRequestException {
    QueryClass queryClass = settings.queryClasses().get(className);
    if (queryClass == null) {
      throw new InvalidRequestException(NOT_FOUND, "unknown table type");
    }
    HttpHeaders headers = request.headers();
    String id = headers.get("X-Correlation-Id", "");
    if (!ID.matcher(id).matches()) {
      throw invalid("X-Correlation-Id is missing or no plain id");
    }
    long timeLeftUs = parseTimeLeftUs(headers.get("X-Time-Left", ""));
    JsonNode body = parseJson(request);
    JsonNode predicate = body.path("predicate");
    if (!predicate.isTextual()) {
      throw invalid("predicate is missing or no text");
    }
    // The time that the client states is capped at the timeout of the query class.
    long deadline = beganAt + Math.min(timeLeftUs, queryClass.timeoutUs());
    return new QueryRequest(
        id,
        className,
        headers.get("X-Account", ""),
        completeAt,
        deadline,
        headers.get("X-Repeat", "").equals("1"),
        headers.get("X-Session-Key", ""),
        predicate.textValue().getBytes(UTF_8),
        parseShardTargets(body.path("ranges")));
  }

  private static long parseTimeLeftUs(String text) throws InvalidRequestException {
    Matcher parts = TIME_LEFT.matcher(text);
    if (!parts.matches()) {
      throw invalid("X-Time-Left is missing or no time such as 480m");
    }
    int unitUs = parts.group(2).equals("m") ? US_PER_MS : 1;
    long us = Math.round(Double.parseDouble(parts.group(1)) * unitUs);
    if (us <= 0) {
      throw invalid("X-Time-Left is no time above 0");
    }
    return us;
  }

  private JsonNode parseJson(FullHttpRequest request) throws InvalidRequestException {
    try (InputStream in = new ByteBufInputStream(request.content())) {
      return mapper.readTree(in);
    } catch (IOException fault) {
      throw invalid("the body is no JSON");
    }
  }

  private List<ShardTarget> parseShardTargets(JsonNode list) throws InvalidRequestException {
    if (!list.isArray() || list.isEmpty()) {
      throw invalid("ranges is missing or empty");
    }
    List<ShardTarget> targets = new ArrayList<>(list.size());
    Set<Integer> seen = new HashSet<>();
    double sum = 0;
    for (JsonNode element : list) {
      ShardTarget target = parseShardTarget(element, seen);
      sum += target.weight();
      targets.add(target);
    }
    if (!(Math.abs(sum - 1) <= WEIGHT_TOLERANCE * (1 + targets.size()))) {
      throw invalid("the portions do not make one whole");
    }
    return targets;
  }

  private ShardTarget parseShardTarget(JsonNode element, Set<Integer> seen)
      throws InvalidRequestException {
    JsonNode shard = element.path("range");
    if (!shard.isIntegralNumber()
        || !shard.canConvertToInt()
        || shard.intValue() < 0
        || shard.intValue() >= settings.layout().shards()) {
      throw invalid("range is no known shard");
    }
    if (!seen.add(shard.intValue())) {
      throw invalid("a range stands twice");
    }
    JsonNode portion = element.path("portion");
    double weight = portion.isNumber() ? portion.doubleValue() : -1;
    if (!(weight >= 0 && weight <= 1)) {
      throw invalid("portion is no share from 0 to 1");
    }
    return new ShardTarget(shard.intValue(), weight, element.path("hash").asText(""));
  }

  private static InvalidRequestException invalid(String message) {
    return new InvalidRequestException(BAD_REQUEST, message);
  }
}
