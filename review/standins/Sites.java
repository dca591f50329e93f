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
    return rennes(servers, 0.3);
  }

  /** The same with another share of its capacity that a shard server starts with. */
  static String rennes(int servers, double coldFrom) {
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
        + "\"guarantees\":{\"answerSlackMs\":20.0,\"askEveryMs\":10000.0,\"coldFrom\":" + coldFrom + ",\"coldMs\":16000.0,"
        + "\"fallMultiple\":2.0,\"stopSendingWithinMs\":2000.0,\"tipAfterMs\":1000.0}}";
  }

  /** vannes-lorient: one attempt out at a time. Both classes may be repeated here. */
  static String vannes(int servers) {
    return "{\"instances\":3,\"rank\":0,\"tickMs\":5.0,\"discovery\":\"ask\",\"serviceType\":\"fanout\",\"services\":["
        + type("balance-report", "read_like", 2000, 6000, 0.3, 5000) + ","
        + type("handover", "read_like", 1500, 4000, 0.1, 4000) + "],"
        + "\"specifics\":{\"bundleMax\":1,\"callMs\":0.0,\"classNeed\":[1.0,1.0],\"floorByClass\":[1.0,1.0],"
        + "\"incompleteWorth\":[0.9,0.9],\"positions\":" + servers + ",\"secondStep\":[0,0],\"slices\":" + 2 * servers
        + ",\"warmKeys\":false,\"width\":2},"
        + "\"limits\":{\"cancel\":true,\"connectTimeoutMs\":250.0,\"keepaliveMs\":30000.0,\"maxAttempts\":4,"
        + "\"maxRetryAfterMs\":500.0,\"maxStreams\":100,\"mayProbe\":false,\"mostHeld\":185,\"peers\":false,"
        + "\"retryAfter\":true,\"secondCopies\":false},\"report\":{\"columns\":[],\"how\":\"off\"},"
        + "\"guarantees\":{\"answerSlackMs\":20.0,\"askEveryMs\":10000.0,\"coldFrom\":0.15,\"coldMs\":18000.0,"
        + "\"fallMultiple\":2.5,\"stopSendingWithinMs\":1000.0,\"tipAfterMs\":1500.0}}";
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

  /** brest-port: lists are pushed, several parts share a call. */
  static String brest(int servers) {
    return "{\"instances\":3,\"rank\":0,\"tickMs\":5.0,\"discovery\":\"push\",\"serviceType\":\"fanout\",\"services\":["
        + type("yard-count", "read_like", 2000, 4000, 0.1, 5000) + ","
        + type("pallet-trail", "read_like", 1500, 5000, 0.0, 5000) + ","
        + type("claim-report", "read_like", 2500, 5000, 0.3, 5000) + "],"
        + "\"specifics\":{\"bundleMax\":8,\"callMs\":35.0,\"classNeed\":[1.0,1.0,1.0],\"floorByClass\":[0.8,1.0,0.6],"
        + "\"incompleteWorth\":[0.9,0.9,0.9],\"positions\":" + servers + ",\"secondStep\":[0,0,0],\"slices\":" + 2 * servers
        + ",\"warmKeys\":true,\"width\":4},"
        + "\"limits\":{\"cancel\":true,\"connectTimeoutMs\":250.0,\"keepaliveMs\":30000.0,\"maxAttempts\":4,"
        + "\"maxRetryAfterMs\":2000.0,\"maxStreams\":100,\"mayProbe\":true,\"mostHeld\":185,\"peers\":false,"
        + "\"retryAfter\":false,\"secondCopies\":true},\"report\":{\"columns\":[\"rif\",\"lat_ms\",\"busy\"],\"how\":\"on_probe\"},"
        + "\"guarantees\":{\"answerSlackMs\":20.0,\"coldFrom\":0.2,\"coldMs\":14000.0,"
        + "\"fallMultiple\":3.0,\"stopSendingWithinMs\":250.0,\"tipAfterMs\":2000.0}}";
  }
}
