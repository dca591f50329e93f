package tidebank.runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tidebank.model.Event;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.runtime.BackendPort.ResolvedEndpoint;

/**
 * The last known endpoint list. A policy that replaces a failed one starts with it, and readiness
 * depends on it.
 */
final class KnownEndpoints {
  private final Map<String, ResolvedEndpoint> endpointsByServer = new HashMap<>();
  private boolean listReceived;

  /** Applies a complete list or a delta. */
  void apply(ListUpdate update, List<ResolvedEndpoint> changed) {
    listReceived |= update != ListUpdate.CACHED;
    if (update != ListUpdate.DELTA) {
      endpointsByServer.clear();
    }
    for (ResolvedEndpoint resolved : changed) {
      if (resolved.endpoint().status() == EndpointStatus.GONE) {
        endpointsByServer.remove(resolved.endpoint().server());
      } else {
        endpointsByServer.put(resolved.endpoint().server(), resolved);
      }
    }
  }

  /** Returns whether discovery has sent any list since the start, even an empty one. */
  boolean hasReceivedList() {
    return listReceived;
  }

  boolean isEmpty() {
    return endpointsByServer.isEmpty();
  }

  /** Returns an event with all known endpoints as a cached list. */
  Event.EndpointListReceived asCachedList() {
    return new Event.EndpointListReceived(
        ListUpdate.CACHED, withoutAddresses(endpointsByServer.values()));
  }

  /** Returns the endpoints without their addresses, which the policy does not need. */
  static List<Event.Endpoint> withoutAddresses(Iterable<ResolvedEndpoint> listed) {
    List<Event.Endpoint> endpoints = new ArrayList<>();
    for (ResolvedEndpoint resolved : listed) {
      endpoints.add(resolved.endpoint());
    }
    return endpoints;
  }
}
