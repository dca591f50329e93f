package tidebank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tidebank.config.MalformedInputException;
import tidebank.testbed.trace.mapping.Mapping;
import tidebank.testbed.trace.read.Importer;
import tidebank.testbed.trace.read.Sniffer;
import tidebank.testbed.trace.read.Source;

/** Imports CSV into the normal form. */
@Command(
    name = "import",
    description =
        "Reads CSV into the normal form (Parquet): maps, orders and accounts for every row.",
    mixinStandardHelpOptions = true)
final class TraceImportCommand extends ResultCommand {
  @Parameters(
      paramLabel = "FILE",
      arity = "1..*",
      description = "CSV, plain, gzip or zstd; read one after another")
  List<Path> files;

  @Option(
      names = {"-o", "--output"},
      required = true,
      paramLabel = "FILE",
      description = "the normal form to write")
  Path output;

  @Option(names = "--layout", paramLabel = "NAME", description = "instead of sniffing")
  String layoutName;

  @Option(
      names = "--mapping",
      paramLabel = "FILE",
      description = "TOML; without one the layout's default")
  Path mappingFile;

  @Option(
      names = "--rejects",
      paramLabel = "FILE",
      description = "rejected lines, with number and cause (default: beside the output)")
  Path rejects;

  @Option(
      names = "--window-rows",
      paramLabel = "N",
      defaultValue = "50000",
      description =
          "rows out of order that are put " + "right in passing (default: ${DEFAULT-VALUE})")
  int window;

  @Option(
      names = "--memory-rows",
      paramLabel = "N",
      defaultValue = "200000",
      description = "rows the sort on disk holds in " + "memory (default: ${DEFAULT-VALUE})")
  int memory;

  @Option(
      names = "--late-s",
      paramLabel = "S",
      description = "reject rows further behind the newest than this (default: none)")
  Double late;

  @Override
  public Integer call() throws IOException {
    if (window < 1 || memory < 1 || late != null && !(late >= 0)) {
      throw wrong("--window-rows and --memory-rows want a number from 1, --late-s one from 0");
    }
    Source source = new Source(files);
    Mapping mapping = mapping(source);
    Path rejectsTo =
        rejects != null ? rejects : output.resolveSibling(output.getFileName() + ".rejects.csv");
    Importer.Result result;
    try (Progress progress = new Progress("lines", 0)) {
      result =
          new Importer(
                  mapping,
                  new Importer.Limits(
                      window,
                      memory,
                      late == null ? Long.MAX_VALUE / 4 : Math.round(late * TraceOutput.SECOND_US)),
                  progress)
              .read(source, output, rejectsTo);
    }
    ObjectNode told =
        ResultCommand.JSON
            .createObjectNode()
            .put("output", output.toString())
            .put("layout", mapping.layout().name())
            .put("lines_in", result.tally().linesIn())
            .put("expanded", result.tally().expandedRows())
            .put("rows_out", result.meta().rows())
            .put("seconds", result.meta().seconds())
            .put("sorted_on_disk", result.sortedOnDisk())
            .put("spilled_runs", result.spilledRuns());
    ObjectNode rejected = told.putObject("rejected");
    result.tally().rejected().forEach(rejected::put);
    ObjectNode leftOut = told.putObject("left_out");
    result.tally().leftOut().forEach(leftOut::put);
    if (json) {
      print(told);
    } else {
      out()
          .printf(
              Locale.ROOT,
              "%s: %,d lines%s, %,d requests over %.1f s, to %s%n",
              mapping.layout().name(),
              result.tally().linesIn(),
              result.tally().expandedRows() == 0
                  ? ""
                  : String.format(" (expanding to %,d more rows)", result.tally().expandedRows()),
              result.meta().rows(),
              result.meta().seconds(),
              output);
      result
          .tally()
          .leftOut()
          .forEach((cause, count) -> out().printf("  left out  %,10d  %s%n", count, cause));
      result
          .tally()
          .rejected()
          .forEach((cause, count) -> out().printf("  rejected  %,10d  %s%n", count, cause));
      if (result.sortedOnDisk() > 0) {
        out()
            .printf(
                "  %,d rows were behind the window and went through the sort on disk%n",
                result.sortedOnDisk());
      }
      if (result.tally().rejectedRows() > 0 && Files.exists(rejectsTo)) {
        out().println("  rejected lines: " + rejectsTo);
      }
      out().flush();
    }
    return Tidebank.DONE;
  }

  private Mapping mapping(Source source) throws IOException {
    if (mappingFile != null) {
      Mapping mapping = Mapping.read(mappingFile);
      if (layoutName != null && !mapping.layout().name().equals(layoutName)) {
        throw wrong("--layout says " + layoutName + ", the mapping " + mapping.layout().name());
      }
      return mapping;
    }
    if (layoutName != null) {
      return Mapping.standard(TraceMappingCommand.layout(layoutName));
    }
    Sniffer.Finding finding = Sniffer.sniff(source);
    if (finding.best() == null) {
      throw new MalformedInputException(source + ": " + finding.verdict());
    }
    return Mapping.standard(finding.best());
  }
}
