package tidebank.testbed.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tidebank.fleet.LeaseCodec;
import tidebank.fleet.Retention;
import tidebank.lease.LeaseTable;

/**
 * Files of the fleet's folder, some kept too long, and what becomes of them: none may go that no
 * published list had named before, and none that was not too old. Written to by the script, looked
 * at by the observer, each under this object's lock.
 */
final class SharedFolderCheck {
  private static final Duration OLD = Duration.ofDays(60);
  private static final Duration YOUNG = Duration.ofDays(2);

  private final Path folder;
  private final Set<String> old = new HashSet<>();
  private final Set<String> young = new HashSet<>();
  private final Set<String> named = new HashSet<>();
  private final Set<String> told = new HashSet<>();
  private final List<String> faults = new ArrayList<>();
  private String last = "";
  private int batches;

  SharedFolderCheck(Path folder) {
    this.folder = folder;
  }

  /** So many files that are too old, and as many that are not. */
  synchronized void litter(int count) throws IOException {
    Path captures = Files.createDirectories(folder.resolve("captures/of-" + ++batches));
    for (int i = 0; i < 2 * count; i++) {
      boolean aged = i < count;
      Path file = Files.write(captures.resolve(i + ".part"), new byte[100]);
      Files.setLastModifiedTime(file, FileTime.from(Instant.now().minus(aged ? OLD : YOUNG)));
      // In place at once with its age: a list that is made now must not find it young, or half
      // there.
      Files.move(file, captures.resolve(i + ".tbc"));
      (aged ? old : young).add("captures/of-" + batches + "/" + i + ".tbc");
    }
  }

  /** Which of them are gone by now. To be asked before the state that tells what was published. */
  synchronized Set<String> gone() {
    Set<String> gone = new HashSet<>(old);
    gone.addAll(young);
    gone.removeIf(name -> Files.exists(folder.resolve(name)));
    return gone;
  }

  /** What is published, after {@code gone} was seen. */
  synchronized void see(LeaseTable.TaskLease duty, Set<String> gone) {
    try {
      for (String name = duty.value(); !name.equals(last) && !name.isEmpty(); ) {
        Retention list =
            LeaseCodec.read(
                Files.readAllBytes(folder.resolve("removals").resolve(name)), Retention.class);
        named.addAll(list.names());
        name = list.previous();
      }
    } catch (IOException fault) {
      faults.add(duty.value() + " is published and can't be read: " + fault);
    }
    last = duty.value();
    for (String name : gone) {
      if ((!named.contains(name) || young.contains(name)) && told.add(name)) {
        faults.add(
            name
                + " was removed, and "
                + (named.contains(name) ? "was not too old" : "no published list names it"));
      }
    }
  }

  /** How many are there that were kept too long. */
  synchronized long old() {
    return old.stream().filter(name -> Files.exists(folder.resolve(name))).count();
  }

  synchronized List<String> faults() {
    return List.copyOf(faults);
  }
}
