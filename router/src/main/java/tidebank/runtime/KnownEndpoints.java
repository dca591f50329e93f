package tidebank.runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tidebank.model.Event;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.runtime.BackendPort.Member;

/**
 * The last known endpoint list. A policy that replaces a failed one starts with it, and readiness
 * depends on it.
 */
final class KnownEndpoints {
  private final Map<String, Member> members = new HashMap<>();
  private boolean received;

  /** Applies a complete list or a delta. */
  void apply(ListUpdate update, List<Member> changed) {
    received |= update != ListUpdate.CACHED;
    if (update != ListUpdate.DELTA) {
      members.clear();
    }
    for (Member member : changed) {
      if (member.endpoint().status() == EndpointStatus.GONE) {
        members.remove(member.endpoint().server());
      } else {
        members.put(member.endpoint().server(), member);
      }
    }
  }

  /** Returns whether discovery has sent any list since the start, even an empty one. */
  boolean wasReceived() {
    return received;
  }

  boolean isEmpty() {
    return members.isEmpty();
  }

  /** Returns an event with all known endpoints as a cached list. */
  Event.EndpointListReceived asCachedList() {
    return new Event.EndpointListReceived(ListUpdate.CACHED, endpoints(members.values()));
  }

  /** Returns the endpoints without their addresses, which the policy does not need. */
  static List<Event.Endpoint> endpoints(Iterable<Member> members) {
    List<Event.Endpoint> endpoints = new ArrayList<>();
    for (Member member : members) {
      endpoints.add(member.endpoint());
    }
    return endpoints;
  }
}
