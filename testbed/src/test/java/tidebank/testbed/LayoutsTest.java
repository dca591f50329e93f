package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tidebank.testbed.trace.layout.Layout;
import tidebank.testbed.trace.layout.Layouts;
import tidebank.testbed.trace.layout.RawRow;
import tidebank.testbed.trace.layout.RowException;

/** Each layout's oddities, as they are publicly known. */
class LayoutsTest {
  private static final String GOOGLE_2011 =
      "%s,,3418309,0,4155527081,%s,user,3,9,0.125,0.07446,0.0004,0";

  private static List<RawRow> read(String layout, String header, String line) throws RowException {
    List<RawRow> rows = new ArrayList<>();
    Layout.Reader reader =
        Layouts.named(layout).open(header == null ? null : List.of(header.split(",", -1)));
    long told = reader.read(List.of(line.split(",", -1)), rows::add);
    assertThat(told).isEqualTo(rows.size());
    return rows;
  }

  private static void refused(
      boolean bad, String cause, String layout, String header, String line) {
    assertThatThrownBy(() -> read(layout, header, line))
        .isInstanceOf(RowException.class)
        .hasMessage(cause)
        .extracting(fault -> ((RowException) fault).bad())
        .isEqualTo(bad);
  }

  @Test
  void google2011CountsSubmissionsAndKnowsTheTwoTimesThatAreNone() throws Exception {
    String name = "google-2011-task-events";
    assertThat(read(name, null, GOOGLE_2011.formatted("600000001", "0")).get(0).timeUs())
        .isEqualTo(600000001L);
    refused(false, "before-the-trace", name, null, GOOGLE_2011.formatted("0", "0"));
    refused(
        false, "after-the-trace", name, null, GOOGLE_2011.formatted("9223372036854775807", "0"));
    refused(false, "no-arrival", name, null, GOOGLE_2011.formatted("600000001", "1"));
    refused(true, "negative-time", name, null, GOOGLE_2011.formatted("-5", "0"));
    refused(true, "no-number-time", name, null, GOOGLE_2011.formatted("noon", "0"));
    refused(true, "columns-missing", name, null, "600000001,,3418309");
    refused(true, "columns-too-many", name, null, GOOGLE_2011.formatted("600000001", "0") + ",1");
    refused(true, "empty-job_id", name, null, "600000001,,,0,,0,,,,,,,");
  }

  @Test
  void google2011MayLeaveTrailingColumnsAway() throws Exception {
    RawRow row = read("google-2011-task-events", null, "600000001,,3418309,0,,0,user").get(0);
    assertThat(row.numbers()[9]).isNaN();
    assertThat(row.texts()[6]).isEqualTo("user");
  }

  @Test
  void google2019TakesColumnsByNameInAnyOrderAndTypesByWordOrNumber() throws Exception {
    String name = "google-2019-instance-events";
    String head = "type,time,collection_id,instance_index,resource_request.cpus";
    assertThat(read(name, head, "SUBMIT,17,c1,4,0.25").get(0))
        .satisfies(
            row -> {
              assertThat(row.timeUs()).isEqualTo(17);
              assertThat(row.identity()).isEqualTo("c1/4");
              assertThat(row.numbers()[11]).isEqualTo(0.25);
            });
    assertThat(read(name, head, "0,17,c1,4,")).hasSize(1);
    refused(false, "no-arrival", name, head, "FINISH,17,c1,4,");
    assertThatThrownBy(() -> read(name, "time,type", "1,0")).hasMessageContaining("collection_id");
  }

  @Test
  void alibabaBatchTasksCountSecondsAndAStartOfZeroIsNone() throws Exception {
    String name = "alibaba-2018-batch-task";
    String task = "M1,10,j_1,1,Terminated,%s,%s,100.0,0.2";
    assertThat(read(name, null, task.formatted("87076", "87100")).get(0).timeUs())
        .isEqualTo(87076_000_000L);
    refused(false, "never-started", name, null, task.formatted("0", "0"));
    refused(true, "negative-duration", name, null, task.formatted("87076", "87000"));
    assertThat(read(name, null, task.formatted("87076", "0"))).hasSize(1);
  }

  @Test
  void callGraphsOf2021And2022AreBothRead() throws Exception {
    String name = "alibaba-microservices-call-graph";
    assertThat(
            read(
                    name,
                    ",traceid,timestamp,rpcid,um,rpctype,dm,interface,rt",
                    "0,t1,1500,0.1,MS_1,rpc,MS_2,if,-3")
                .get(0)
                .timeUs())
        .isEqualTo(1_500_000);
    assertThat(
            read(
                    name,
                    "timestamp,traceid,service,rpc_id,rpctype,um,uminstance,interface,dm,dminstance,rt",
                    "1500,t1,S_1,0.1,rpc,MS_1,i,if,MS_2,i,3")
                .get(0)
                .identity())
        .isEqualTo("t1/0.1");
  }

  @Test
  void aMinutesCountBecomesSoManyArrivalsWithinItAlwaysTheSame() throws Exception {
    String name = "azure-2019-invocations";
    String head = "HashOwner,HashApp,HashFunction,Trigger,1,2,3";
    List<RawRow> rows = read(name, head, "o,a,f,http,2,0,3");
    assertThat(rows).hasSize(5);
    assertThat(rows.subList(0, 2))
        .allSatisfy(row -> assertThat(row.timeUs()).isBetween(0L, 59_999_999L));
    assertThat(rows.subList(2, 5))
        .allSatisfy(row -> assertThat(row.timeUs()).isBetween(120_000_000L, 179_999_999L));
    assertThat(read(name, head, "o,a,f,http,2,0,3").get(4).timeUs())
        .isEqualTo(rows.get(4).timeUs());
    assertThat(read(name, head, "o,a,f,http,0,0,0")).isEmpty();
    refused(true, "negative-count", name, head, "o,a,f,http,-2,0,3");
    refused(true, "no-number-count", name, head, "o,a,f,http,x,0,3");
  }

  @Test
  void azure2021TellsTheEndAndTheArrivalLiesBeforeIt() throws Exception {
    String name = "azure-2021-invocations";
    String head = "app,func,end_timestamp,duration";
    assertThat(read(name, head, "a,f,10.5,0.25").get(0).timeUs()).isEqualTo(10_250_000);
    refused(false, "before-the-trace", name, head, "a,f,1,2");
    refused(true, "negative-duration", name, head, "a,f,1,-2");
  }
}
