package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import tidebank.simulation.SimulatorHost;

/** Tests {@link SimulatorHost} with messages in the format of the simulator. */
class SimulatorHostTest {
  private static final String ENDPOINT_PAGE =
      "{'kind':'Sheet','page':3,'items':[{'lastStartMs':null,'rating':1,'slotNo':0,"
          + "'status':'in_service','flavor':'x','campus':'y','server':'s0','new':1}]}";
  private static final String ATTACH =
      "{'kind':'Attach','who':1,'salt':5,'config':{'discovery':'ask','services':["
          + "{'name':'t','semantics':'read_like','onTimeMs':1000,'deadlineMs':3000,'worth':1}],"
          + "'specifics':{'slices':1,'positions':1,'width':1,'floorByClass':[0.5]},'unknown':{}}}";
  private static final String ENDPOINT_LIST =
      "{'kind':'Announce','who':1,'mode':'warm_copy','generation':1,'page':3}";
  private static final String QUERY =
      "{'kind':'Knock','who':1,'handle':'aa','account':null,'notAfterMs':4000,'jobNo':1,"
          + "'resent':false,'lane':'t','subject':null,'slab':-1,'measure':1}";
  private static final String SHARD_REQUEST =
      "{'kind':'Knock','who':1,'handle':'bb','notAfterMs':4000,'jobNo':1,"
          + "'lane':'t','slab':0,'measure':1.0}";

  /** Runs a host over the batches and returns its output, with single quotes for double ones. */
  private static String run(String... batches) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String in = String.join("\n", batches).replace('\'', '"');
    new SimulatorHost().run(new ByteArrayInputStream(in.getBytes(StandardCharsets.UTF_8)), out);
    return out.toString(StandardCharsets.UTF_8).replace('"', '\'');
  }

  private static String batch(double timeMs, String... messages) {
    return "{'simTimeMs':" + timeMs + ",'msgs':[" + String.join(",", messages) + "]}";
  }

  /** Guards against a missing reply line, for which the simulator would wait. */
  @Test
  void anEmptyBatchGetsAnEmptyReply() throws IOException {
    assertThat(run(batch(1))).isEqualTo("{'output':[]}\n");
  }

  /** Guards against changed field names or values, which the simulator would not understand. */
  @Test
  void aQueryIsSentTimedAndAnsweredInTheSimulatorsFormat() throws IOException {
    String replies =
        run(
            batch(1000, ATTACH, ENDPOINT_PAGE, ENDPOINT_LIST, QUERY, SHARD_REQUEST),
            batch(
                1100.25,
                "{'kind':'Returned','who':1,'handle':'bb','try':0,'server':'s0','disposition':'success',"
                    + "'costTimeMs':100.25,'ended':true,'metrics':{'busy':0.5,'odd':null}}"));
    assertThat(replies.lines()).hasSize(2);
    assertThat(replies)
        .contains("{'kind':'Follow','who':1,'complete':true}")
        .contains("{'kind':'Assign','who':1,'handle':'bb','server':'s0','stopAtMs':")
        .contains("'kind':'SetTimer','who':1,'waitMs':")
        .contains("{'kind':'WrapUp','who':1,'handle':'aa','complete':true}");
  }

  /** Guards against an endpoint list that uses an outdated page with the same number. */
  @Test
  void aPageWithTheSameNumberReplacesTheEarlierOneInABatch() throws IOException {
    String replacement = ENDPOINT_PAGE.replace("'server':'s0'", "'server':'s9'");
    assertThat(
            run(
                batch(
                    1000,
                    ATTACH,
                    ENDPOINT_PAGE,
                    ENDPOINT_LIST,
                    replacement,
                    ENDPOINT_LIST,
                    QUERY,
                    SHARD_REQUEST)))
        .contains("'server':'s9'");
  }

  /**
   * Guards against instances that share their endpoints: only instance 1 has received a list, so a
   * query to instance 2 is throttled.
   */
  @Test
  void instancesShareNoStateAndARetiredInstanceIsRemoved() throws IOException {
    String secondAttach = ATTACH.replace("'who':1", "'who':2");
    String replies =
        run(
            batch(1000, ATTACH, secondAttach, ENDPOINT_PAGE, ENDPOINT_LIST),
            batch(
                1001,
                "{'kind':'Retire','who':1}",
                QUERY.replace("'who':1", "'who':2"),
                SHARD_REQUEST.replace("'who':1", "'who':2")));
    assertThat(replies).doesNotContain("Assign").contains("{'kind':'Busy','who':2,'handle':'aa'");
  }

  /** Guards against errors that do not tell the user of the simulator what is wrong. */
  @Test
  void invalidInputThrowsAnExceptionThatNamesTheProblem() {
    assertThatThrownBy(() -> run("{oops")).hasMessageContaining("not JSON");
    assertThatThrownBy(() -> run("[]")).hasMessageContaining("not a batch");
    assertThatThrownBy(() -> run("{'simTimeMs':1}")).hasMessageContaining("'msgs' is missing");
    assertThatThrownBy(() -> run(batch(1, "{'kind':'Lapsed','who':4,'handle':'a'}")))
        .hasMessageContaining("never attached");
    assertThatThrownBy(() -> run(batch(1, ATTACH, ENDPOINT_LIST)))
        .hasMessageContaining("page 3 was never sent");
  }
}
