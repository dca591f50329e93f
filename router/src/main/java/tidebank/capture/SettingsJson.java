package tidebank.capture;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.Map;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * The JSON form of the settings in a capture. The field names differ from the current names of the
 * record components and must not change, so that captures of other versions remain readable.
 */
final class SettingsJson {
  private static final ObjectMapper MAPPER =
      configure(
          JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build());

  private SettingsJson() {}

  static byte[] write(Settings settings) throws JsonProcessingException {
    return MAPPER.writeValueAsBytes(settings);
  }

  /** Reads settings. Ignores unknown fields, which a later version may have written. */
  static Settings read(byte[] json) throws IOException {
    return MAPPER.readValue(json, Settings.class);
  }

  private static ObjectMapper configure(ObjectMapper mapper) {
    return mapper
        .addMixIn(Settings.class, SettingsFields.class)
        .addMixIn(Settings.Layout.class, LayoutFields.class)
        .addMixIn(Settings.Limits.class, LimitsFields.class)
        .addMixIn(Settings.Rules.class, RulesFields.class)
        .addMixIn(QueryClass.class, QueryClassFields.class)
        .addMixIn(Idempotency.class, IdempotencyNames.class);
  }

  /** Fields of {@link Settings}. */
  @JsonPropertyOrder({
    "instances",
    "rank",
    "tickUs",
    "tableTypes",
    "allowances",
    "overShareBenefit",
    "layout",
    "limits",
    "rules"
  })
  private interface SettingsFields {
    @JsonProperty("instances")
    int routers();

    @JsonProperty("rank")
    int routerIndex();

    @JsonProperty("tableTypes")
    Map<String, QueryClass> queryClasses();

    @JsonProperty("allowances")
    Map<String, Double> quotas();

    @JsonProperty("overShareBenefit")
    double overQuotaWeight();
  }

  /** Fields of {@link Settings.Layout}. */
  @JsonPropertyOrder({"shards", "positions", "width", "bundleMax", "callUs"})
  private interface LayoutFields {
    @JsonProperty("width")
    int replicationSpan();

    @JsonProperty("bundleMax")
    int maxBatchSize();

    @JsonProperty("callUs")
    long batchOverheadUs();
  }

  /** Fields of {@link Settings.Limits}. */
  @JsonPropertyOrder({
    "maxDispatches",
    "secondCopies",
    "cancel",
    "probes",
    "holdOff",
    "maxHoldOffUs",
    "mostHeld",
    "listOnRequest"
  })
  private interface LimitsFields {
    @JsonProperty("maxDispatches")
    int maxAttempts();

    @JsonProperty("secondCopies")
    boolean hedging();

    @JsonProperty("cancel")
    boolean cancellation();

    @JsonProperty("probes")
    boolean healthChecks();

    @JsonProperty("holdOff")
    boolean retryAfter();

    @JsonProperty("maxHoldOffUs")
    long maxRetryAfterUs();

    @JsonProperty("mostHeld")
    int maxPending();

    @JsonProperty("listOnRequest")
    boolean watchOnRequest();
  }

  /** Fields of {@link Settings.Rules}. */
  @JsonPropertyOrder({
    "answerSlackUs",
    "askEveryUs",
    "drainGraceUs",
    "coldFrom",
    "coldUs",
    "fallMultiple",
    "tipAfterUs",
    "freeResends",
    "extraRatio",
    "ratioSpanUs"
  })
  private interface RulesFields {
    @JsonProperty("answerSlackUs")
    long responseSlackUs();

    @JsonProperty("askEveryUs")
    long pollIntervalUs();

    @JsonProperty("coldFrom")
    double slowStartInitialShare();

    @JsonProperty("coldUs")
    long slowStartUs();

    @JsonProperty("fallMultiple")
    double overloadMultiple();

    @JsonProperty("tipAfterUs")
    long overloadWindowUs();

    @JsonProperty("freeResends")
    double retryBudgetFloor();

    @JsonProperty("extraRatio")
    double retryBudgetRatio();

    @JsonProperty("ratioSpanUs")
    long retryBudgetWindowUs();
  }

  /** Fields of {@link QueryClass}. */
  @JsonPropertyOrder({
    "name",
    "repeat",
    "windowUs",
    "targetUs",
    "timeoutUs",
    "lateBenefit",
    "floor",
    "need",
    "secondStep"
  })
  private interface QueryClassFields {
    @JsonProperty("repeat")
    Idempotency idempotency();

    @JsonProperty("windowUs")
    long idempotencyWindowUs();

    @JsonProperty("targetUs")
    long latencyObjectiveUs();

    @JsonProperty("lateBenefit")
    double lateWeight();

    @JsonProperty("floor")
    double minimumWeight();

    @JsonProperty("need")
    double completeWeight();

    @JsonProperty("secondStep")
    int secondStageRequests();
  }

  /** Stored names of {@link Idempotency}. */
  private enum IdempotencyNames {
    @JsonProperty("REPLAYABLE")
    IDEMPOTENT,
    @JsonProperty("KEYED")
    WITH_KEY,
    @JsonProperty("NON_REPLAYABLE")
    NON_IDEMPOTENT
  }
}
