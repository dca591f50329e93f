package tidebank.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.TreeSet;

/** The paths of a JSON document, with the type at each: its form without its values. */
final class JsonPaths {
  private JsonPaths() {}

  static Set<String> of(JsonNode root) {
    Set<String> paths = new TreeSet<>();
    collect(root, "$", paths);
    return paths;
  }

  private static void collect(JsonNode node, String path, Set<String> paths) {
    if (node.isObject()) {
      node.fields()
          .forEachRemaining(field -> collect(field.getValue(), path + '.' + field.getKey(), paths));
    } else if (node.isArray()) {
      node.forEach(element -> collect(element, path + "[]", paths));
    }
    paths.add(path + ' ' + node.getNodeType());
  }
}
