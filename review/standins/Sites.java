/** Settings of small deployments, with the figures of the operators' site files. */
final class Sites {
  private Sites() {}

  private static String type(String name, String semantics, int onTimeMs, int deadlineMs, double lateWorth, int windowMs) {
    return "{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"onTimeMs\":" + onTimeMs
        + ",\"deadlineMs\":" + deadlineMs + ",\"lateWorth\":" + lateWorth
        + ",\"dedupScope\":\"all\",\"stream\":false,\"windowMs\":" + windowMs + ",\"worth\":1.0}";
  }

  /** rennes-main: lists are asked for, second copies are allowed. */
  static String rennes(int servers) {
    return "{\"instances\":3,\"rank\":0,\"tickMs\":5.0,\"discovery\":\"ask\",\"serviceType\":\"fanout\",\"services\":["
        + type("network-trace", "read_like", 2000, 4000, 0.1, 5000) + ","
        + type("depot-manifest", "read_like", 2000, 6000, 0.1, 5000) + ","
        + type("delivery-confirm", "non_idempotent", 1500, 5000, 0.3, 5000) + "],"
        + "\"specifics\":{\"bundleMax\":1,\"callMs\":0.0,\"classNeed\":[1.0,1.0,1.0],\"floorByClass\":[0.4,1.0,1.0],"
        + "\"incompleteWorth\":[0.9,0.9,0.9],\"positions\":" + servers + ",\"secondStep\":[0,0,0],\"slices\":" + 2 * servers
        + ",\"warmKeys\":false,\"width\":3},"
        + "\"limits\":{\"cancel\":true,\"connectTimeoutMs\":250.0,\"keepaliveMs\":30000.0,\"maxAttempts\":3,"
        + "\"maxRetryAfterMs\":2000.0,\"maxStreams\":100,\"mayProbe\":true,\"mostHeld\":185,\"peers\":false,"
        + "\"retryAfter\":false,\"secondCopies\":true},\"report\":{\"columns\":[\"busy\",\"rate\"],\"how\":\"inline\"},"
        + "\"guarantees\":{\"answerSlackMs\":20.0,\"askEveryMs\":10000.0,\"coldFrom\":0.3,\"coldMs\":16000.0,"
        + "\"fallMultiple\":2.0,\"stopSendingWithinMs\":2000.0,\"tipAfterMs\":1000.0}}";
  }

  /** sapporo-maps: one attempt out at a time; repeats of a hazard report are dropped for 5 s here. */
  static String sapporo(int servers) {
    return "{\"instances\":3,\"rank\":0,\"tickMs\":5.0,\"discovery\":\"ask\",\"serviceType\":\"fanout\",\"services\":["
        + type("hazard-report", "idempotency_key", 1500, 5000, 0.1, 5000) + ","
        + type("conditions-summary", "read_like", 1500, 5000, 0.3, 5000) + "],"
        + "\"specifics\":{\"bundleMax\":1,\"callMs\":0.0,\"classNeed\":[1.0,1.0],\"floorByClass\":[1.0,0.7],"
        + "\"incompleteWorth\":[0.9,0.9],\"positions\":" + servers + ",\"secondStep\":[0,0],\"slices\":" + 2 * servers
        + ",\"warmKeys\":false,\"width\":3},"
        + "\"limits\":{\"cancel\":true,\"connectTimeoutMs\":250.0,\"keepaliveMs\":30000.0,\"maxAttempts\":4,"
        + "\"maxRetryAfterMs\":1000.0,\"maxStreams\":32,\"mayProbe\":true,\"mostHeld\":185,\"peers\":false,"
        + "\"retryAfter\":true,\"secondCopies\":false},\"report\":{\"columns\":[\"rate\"],\"how\":\"on_probe\"},"
        + "\"guarantees\":{\"answerSlackMs\":20.0,\"askEveryMs\":10000.0,\"coldFrom\":0.3,\"coldMs\":16000.0,"
        + "\"fallMultiple\":2.5,\"stopSendingWithinMs\":1000.0,\"tipAfterMs\":1500.0}}";
  }

  /** arlberg-tolls (deploy/sites): attempts can't be called off, and one is out at a time. */
  static String arlberg(int servers) {
    return "{\"instances\":3,\"rank\":0,\"tickMs\":5.0,\"discovery\":\"ask\",\"serviceType\":\"fanout\",\"services\":["
        + type("toll-debit", "non_idempotent", 2500, 6000, 0.2, 5000) + ","
        + type("plate-claim", "non_idempotent", 1800, 4500, 0.05, 5000) + ","
        + type("pass-lookup", "read_like", 1200, 3600, 0.4, 5000) + ","
        + type("ledger-sweep", "read_like", 8000, 8000, 0.0, 5000) + "],"
        + "\"specifics\":{\"bundleMax\":2,\"callMs\":0.2,\"classNeed\":[1.0,1.0,1.0,1.0],\"floorByClass\":[1.0,1.0,0.5,0.75],"
        + "\"incompleteWorth\":[0.9,0.9,0.8,0.9],\"positions\":" + servers + ",\"secondStep\":[0,0,0,0],\"slices\":" + servers
        + ",\"warmKeys\":false,\"width\":3},"
        + "\"limits\":{\"cancel\":false,\"connectTimeoutMs\":250.0,\"keepaliveMs\":15000.0,\"maxAttempts\":2,"
        + "\"maxRetryAfterMs\":1000.0,\"maxStreams\":4,\"mayProbe\":false,\"mostHeld\":185,\"peers\":false,"
        + "\"retryAfter\":true,\"secondCopies\":false},\"report\":{\"columns\":[\"rif\",\"q\"],\"how\":\"inline\"},"
        + "\"guarantees\":{\"answerSlackMs\":20.0,\"askEveryMs\":10000.0,\"coldFrom\":0.21,\"coldMs\":18000.0,"
        + "\"fallMultiple\":2.0,\"stopSendingWithinMs\":1500.0,\"tipAfterMs\":2000.0}}";
  }

}
