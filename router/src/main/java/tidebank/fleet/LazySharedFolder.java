package tidebank.fleet;

import java.io.IOException;
import java.nio.file.Path;

/** Opens the shared folder when it is first needed. Confined to the agent thread. */
final class LazySharedFolder {
  private final Path path;
  private SharedFolder opened;

  LazySharedFolder(Path path) {
    this.path = path;
  }

  SharedFolder open() throws IOException {
    if (opened == null) {
      opened = new SharedFolder(path);
    }
    return opened;
  }
}
