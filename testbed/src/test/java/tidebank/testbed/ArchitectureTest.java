package tidebank.testbed;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Where arrows may go, and that what decides does no I/O and has no thread, clock or chance of its
 * own.
 */
class ArchitectureTest {
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("tidebank");

  /** The classes that decide. A new one is added here. */
  private static final Set<String> DECIDE =
      Set.of(
          "tidebank.backend.DeliveryTracker",
          "tidebank.backend.KeyWindows",
          "tidebank.capture.BlockReader",
          "tidebank.capture.BlockWriter",
          "tidebank.capture.CaptureDecoder",
          "tidebank.capture.CaptureEncoder",
          "tidebank.capture.CaptureFormat",
          "tidebank.capture.UnreadableCaptureException",
          "tidebank.capture.SegmentRetention",
          "tidebank.fleet.FleetReport",
          "tidebank.fleet.RemovalList",
          "tidebank.frontend.ParseQuota",
          "tidebank.frontend.RequestBodyBudget",
          "tidebank.runtime.ExecutedRequests",
          "tidebank.runtime.Readiness",
          "tidebank.runtime.ReadDelayEstimator",
          "tidebank.runtime.ShutdownSchedule",
          "tidebank.testbed.account.ServiceScore",
          "tidebank.testbed.chaos.RandomScript",
          "tidebank.testbed.chaos.UnownedIntervals",
          "tidebank.testbed.chaos.LeaseRules",
          "tidebank.testbed.chaos.LinearizabilityChecker",
          "tidebank.testbed.account.RuleAudit",
          "tidebank.testbed.replay.ClientRetryPolicy",
          "tidebank.testbed.scale.Budgets",
          "tidebank.testbed.scale.CapacityTables",
          "tidebank.testbed.scale.Fits",
          "tidebank.testbed.scale.MemoryEstimate",
          "tidebank.testbed.scale.Quantities",
          "tidebank.testbed.emulator.SlotsModel",
          "tidebank.testbed.trace.RowAccounting",
          "tidebank.testbed.trace.order.Lateness",
          "tidebank.testbed.trace.order.Merge",
          "tidebank.testbed.trace.order.DuplicateFilter",
          "tidebank.testbed.trace.order.CounterUnwrapper",
          "tidebank.testbed.trace.stats.TraceStats",
          "tidebank.testbed.trace.synth.Arrivals");

  private static final DescribedPredicate<JavaClass> DECIDING =
      new DescribedPredicate<>("decide") {
        @Override
        public boolean test(JavaClass one) {
          String name = one.getName();
          int dollar = name.indexOf('$');
          String outer = dollar < 0 ? name : name.substring(0, dollar);
          return DECIDE.contains(outer)
              || one.getPackageName().equals("tidebank.model")
              || one.getPackageName().equals("tidebank.policy")
              || one.getPackageName().equals("tidebank.lease")
              || one.getPackageName().equals("tidebank.testbed.trace.expr")
              || one.getPackageName().equals("tidebank.testbed.trace.shape")
                  && !outer.endsWith("RowSource");
        }
      };

  private static void holds(ArchRule rule) {
    rule.check(ALL);
  }

  @Test
  void whatDecidesDoesNoInputOrOutput() {
    holds(
        noClasses()
            .that(DECIDING)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "io.netty..",
                "java.net..",
                "java.nio.file..",
                "java.nio.channels..",
                "java.util.concurrent..",
                "org.slf4j..")
            .because("time, seed and events come in, decisions go out"));
  }

  @Test
  void whatDecidesHasNoClockThreadOrChanceOfItsOwn() {
    holds(
        noClasses()
            .that(DECIDING)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(java.time.Instant.class, "now")
            .orShould()
            .callMethod(Math.class, "random")
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(Thread.class)
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(java.util.Random.class)
            .because("the same events must give the same decisions"));
  }

  @Test
  void theListOfWhatDecidesNamesClassesThatAreThere() {
    for (String name : DECIDE) {
      ALL.get(name);
    }
  }

  @Test
  void theGathererKnowsNothingOfTheLabOrItsLibraries() {
    holds(
        noClasses()
            .that()
            .resideOutsideOfPackages(
                "tidebank.testbed..", "tidebank.cli..", "tidebank.coordinator..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "tidebank.testbed..",
                "tidebank.cli..",
                "tidebank.coordinator..",
                "org.apache..",
                "org.knowm..",
                "com.dynatrace..",
                "picocli.."));
  }

  @Test
  void theStewardKnowsOfTheGathererOnlyTheRulesTheyShare() {
    holds(
        classes()
            .that()
            .resideInAPackage("tidebank.coordinator..")
            .should()
            .onlyDependOnClassesThat(
                JavaClass.Predicates.resideInAnyPackage(
                        "tidebank.coordinator..",
                        "tidebank.errors..",
                        "tidebank.logging..",
                        "tidebank.metrics..",
                        "tidebank.config..",
                        "tidebank.lease..",
                        "java..",
                        "io.netty..",
                        "com.fasterxml..",
                        "org.slf4j..",
                        "org.apache.ratis..")
                    .or(JavaClass.Predicates.belongToAnyOf(tidebank.fleet.LeaseCodec.class))));
  }

  @Test
  void theRulesOfLeasesDependOnNothingButTheirFaultsAndChance() {
    holds(
        classes()
            .that()
            .resideInAPackage("tidebank.lease..")
            .should()
            .onlyDependOnClassesThat(
                JavaClass.Predicates.resideInAnyPackage("tidebank.lease..", "java..")
                    .or(
                        JavaClass.Predicates.belongToAnyOf(
                            tidebank.errors.TidebankException.class,
                            tidebank.errors.MembershipException.class,
                            tidebank.model.SeededRandom.class))));
  }

  @Test
  void theThreeSidesNeverCallEachOther() {
    for (String side : Set.of("frontend", "backend", "discovery")) {
      holds(
          classes()
              .that()
              .resideInAPackage("tidebank." + side + "..")
              .should()
              .onlyDependOnClassesThat()
              .resideInAnyPackage(
                  "tidebank." + side + "..",
                  "tidebank.policy",
                  "tidebank.errors..",
                  "tidebank.logging..",
                  "tidebank.metrics..",
                  "tidebank.config..",
                  "tidebank.model..",
                  "tidebank.runtime..",
                  "java..",
                  "io.netty..",
                  "com.fasterxml..",
                  "org.slf4j.."));
    }
  }

  @Test
  void theDecisionsOfTheOrdinaryPathDependOnTheirModelOnly() {
    holds(
        classes()
            .that()
            .resideInAPackage("tidebank.policy..")
            .or()
            .resideInAPackage("tidebank.model")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("tidebank.policy", "tidebank.model", "java.."));
  }

  @Test
  void packagesOfTheLabHaveNoCircles() {
    holds(slices().matching("tidebank.testbed.(**)").should().beFreeOfCycles());
  }
}
