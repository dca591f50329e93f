package tidebank.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** What commands with a result have in common: it is printed for people, or as JSON for scripts. */
abstract class ResultCommand implements Callable<Integer> {
  static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  @Spec CommandSpec spec;

  @Option(names = "--json", description = "the result as JSON")
  boolean json;

  PrintWriter out() {
    return spec.commandLine().getOut();
  }

  void print(ObjectNode result) throws IOException {
    out().println(JSON.writeValueAsString(result));
    out().flush();
  }

  ParameterException wrong(String text) {
    return new ParameterException(spec.commandLine(), text);
  }
}
