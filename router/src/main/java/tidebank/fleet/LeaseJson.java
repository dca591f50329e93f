package tidebank.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult;
import tidebank.lease.CommandResult.Grant;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTableState;
import tidebank.lease.Member;
import tidebank.lease.OperatorSession;
import tidebank.lease.TaskLease;

/**
 * JSON field names of the lease protocol, of the coordinators' replicated log and of the files in
 * the shared folder. They are older than the names of the record components and must not change,
 * because messages and stored data of other versions use them. The records themselves do not depend
 * on JSON.
 */
public final class LeaseJson {
  private LeaseJson() {}

  /** Registers the field names with a mapper and returns it. */
  public static ObjectMapper configure(ObjectMapper mapper) {
    return mapper
        .addMixIn(LeaseCommand.class, LeaseCommandFields.class)
        .addMixIn(LeaseCommand.Plan.class, PlanFields.class)
        .addMixIn(CommandResult.class, CommandResultFields.class)
        .addMixIn(Grant.class, GrantFields.class)
        .addMixIn(LeaseConfig.class, LeaseConfigFields.class)
        .addMixIn(Member.class, MemberFields.class)
        .addMixIn(TaskLease.class, TaskLeaseFields.class)
        .addMixIn(OperatorSession.class, OperatorSessionFields.class)
        .addMixIn(LeaseTableState.class, LeaseTableStateFields.class)
        .addMixIn(FleetReport.class, FleetReportFields.class)
        .addMixIn(RemovalList.class, RemovalListFields.class)
        .addMixIn(TidebankException.Details.class, ErrorDetailsFields.class);
  }

  /** Fields of {@link LeaseCommand}. */
  @JsonPropertyOrder({
    "kind",
    "session",
    "number",
    "name",
    "duty",
    "token",
    "revision",
    "value",
    "plan"
  })
  private interface LeaseCommandFields {
    @JsonProperty("number")
    long sequence();

    @JsonProperty("name")
    String member();

    @JsonProperty("duty")
    String task();

    @JsonProperty("token")
    long fencingToken();
  }

  /** Fields of {@link LeaseCommand.Plan}. */
  @JsonPropertyOrder({"terms", "duties"})
  private interface PlanFields {
    @JsonProperty("terms")
    LeaseConfig config();

    @JsonProperty("duties")
    List<String> tasks();
  }

  /** Fields of {@link CommandResult}. */
  @JsonPropertyOrder({"fault", "grants", "wanted", "terms", "revision"})
  private interface CommandResultFields {
    @JsonProperty("fault")
    TidebankException.Details error();

    @JsonProperty("grants")
    List<Grant> leases();

    @JsonProperty("wanted")
    List<String> assignedTasks();

    @JsonProperty("terms")
    LeaseConfig config();
  }

  /** Fields of {@link Grant}. */
  @JsonPropertyOrder({"duty", "token"})
  private interface GrantFields {
    @JsonProperty("duty")
    String task();

    @JsonProperty("token")
    long fencingToken();
  }

  /** Fields of {@link LeaseConfig}. */
  @JsonPropertyOrder({"leaseUs", "drift", "mostMembers", "mostText"})
  private interface LeaseConfigFields {
    @JsonProperty("drift")
    double maxClockDrift();

    @JsonProperty("mostMembers")
    int maxMembers();

    @JsonProperty("mostText")
    int maxTextLength();
  }

  /** Fields of {@link Member}. */
  @JsonPropertyOrder({
    "name",
    "session",
    "aliveUntil",
    "calmAt",
    "strikes",
    "draining",
    "retired",
    "number",
    "answer"
  })
  private interface MemberFields {
    @JsonProperty("aliveUntil")
    long expiresAt();

    @JsonProperty("calmAt")
    long eligibleAt();

    @JsonProperty("strikes")
    int flapCount();

    @JsonProperty("number")
    long lastSequence();

    @JsonProperty("answer")
    CommandResult lastResult();
  }

  /** Fields of {@link TaskLease}. */
  @JsonPropertyOrder({
    "name",
    "token",
    "owner",
    "session",
    "until",
    "meant",
    "pinned",
    "revision",
    "publishedBy",
    "value"
  })
  private interface TaskLeaseFields {
    @JsonProperty("name")
    String task();

    @JsonProperty("token")
    long fencingToken();

    @JsonProperty("owner")
    String holder();

    @JsonProperty("until")
    long expiresAt();

    @JsonProperty("meant")
    String assignedMember();

    @JsonProperty("pinned")
    String stickyMember();

    @JsonProperty("publishedBy")
    long publishingToken();
  }

  /** Fields of {@link OperatorSession}. */
  @JsonPropertyOrder({"session", "number", "answer"})
  private interface OperatorSessionFields {
    @JsonProperty("number")
    long lastSequence();

    @JsonProperty("answer")
    CommandResult lastResult();
  }

  /** Fields of {@link LeaseTableState}. */
  @JsonPropertyOrder({"terms", "term", "now", "tokenFloor", "members", "duties", "operators"})
  private interface LeaseTableStateFields {
    @JsonProperty("terms")
    LeaseConfig config();

    @JsonProperty("now")
    long leaderClock();

    @JsonProperty("duties")
    List<TaskLease> tasks();
  }

  /** Fields of {@link FleetReport}. */
  @JsonPropertyOrder({"number", "follows", "token", "window", "missing", "members"})
  private interface FleetReportFields {
    @JsonProperty("follows")
    String previous();

    @JsonProperty("token")
    long fencingToken();

    @JsonProperty("missing")
    List<String> silentMembers();
  }

  /** Fields of {@link RemovalList}. */
  @JsonPropertyOrder({"number", "follows", "token", "names"})
  private interface RemovalListFields {
    @JsonProperty("follows")
    String previous();

    @JsonProperty("token")
    long fencingToken();
  }

  /** Fields of {@link TidebankException.Details}. */
  @JsonPropertyOrder({"code", "what", "again", "advice"})
  private interface ErrorDetailsFields {
    @JsonProperty("what")
    String message();

    @JsonProperty("again")
    TidebankException.Retry retry();
  }
}
