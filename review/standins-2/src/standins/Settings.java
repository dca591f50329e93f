package standins;

/** The configuration of a router, with figures of rennes-main unless a case says otherwise. */
final class Settings {
  String services;
  String floors = "[0.4, 1.0, 1.0]";
  String needs = "[1.0, 1.0, 1.0]";
  int positions = 6;
  int slices = 6;
  int width = 3;
  int bundleMax = 1;
  int instances = 2;
  int rank;
  int maxAttempts = 3;
  boolean secondCopies = true;
  int mostHeld = 185;
  String discovery = "ask";
  int sockets = 1024;
  String guarantees =
      "{\"answerSlackMs\": 20.0, \"askEveryMs\": 10000.0, \"coldFrom\": 0.3, \"coldMs\": 16000.0,"
          + " \"fallMultiple\": 2.0, \"stopSendingWithinMs\": 2000.0, \"tipAfterMs\": 1000.0}";

  Settings() {
    services =
        service("network-trace", 2000, 4000, 0.1, "read_like", 5000, 3)
            + ","
            + service("depot-manifest", 2000, 6000, 0.1, "read_like", 5000, 1)
            + ","
            + service("delivery-confirm", 1500, 5000, 0.3, "non_idempotent", 5000, 2);
  }

  static String service(
      String name,
      int aimMs,
      int deadlineMs,
      double lateWorth,
      String semantics,
      int windowMs,
      int worth) {
    return "{\"name\":\""
        + name
        + "\",\"onTimeMs\":"
        + aimMs
        + ",\"deadlineMs\":"
        + deadlineMs
        + ",\"lateWorth\":"
        + lateWorth
        + ",\"semantics\":\""
        + semantics
        + "\",\"windowMs\":"
        + windowMs
        + ",\"worth\":"
        + worth
        + ",\"dedupScope\":\"all\",\"stream\":false}";
  }

  String json(String known) {
    return "{\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
        + sockets
        + "},\"known\":"
        + known
        + ",\"settings\":{\"clients\":{\"marksRetry\":true},\"countedBy\":\"request\",\"discovery\":\""
        + discovery
        + "\",\"guarantees\":"
        + guarantees
        + ",\"instances\":"
        + instances
        + ",\"rank\":"
        + rank
        + ",\"layers\":[\"trace-fleet\"],\"tier\":0,\"tickMs\":5.0,"
        + "\"limits\":{\"cancel\":true,\"connectTimeoutMs\":250.0,\"keepaliveMs\":30000.0,"
        + "\"maxAttempts\":"
        + maxAttempts
        + ",\"maxRetryAfterMs\":2000.0,\"maxStreams\":100,\"mayProbe\":true,\"mostHeld\":"
        + mostHeld
        + ",\"peers\":false,\"retryAfter\":false,\"secondCopies\":"
        + secondCopies
        + "},\"overShareWorth\":0.05,\"report\":{\"columns\":[\"busy\",\"rate\"],\"how\":\"inline\"},"
        + "\"serviceType\":\"fanout\",\"services\":["
        + services
        + "],\"specifics\":{\"bundleMax\":"
        + bundleMax
        + ",\"callMs\":0.0,\"classNeed\":"
        + needs
        + ",\"floorByClass\":"
        + floors
        + ",\"positions\":"
        + positions
        + ",\"secondStep\":[0,0,0],\"slices\":"
        + slices
        + ",\"warmKeys\":false,\"width\":"
        + width
        + "},\"tenants\":[{\"allowancePerS\":8.0,\"name\":\"kerloch\",\"share\":1.0}],"
        + "\"weights\":\"off\",\"zone\":\"rennes-chantepie\",\"zones\":[\"rennes-chantepie\"]}}";
  }
}
