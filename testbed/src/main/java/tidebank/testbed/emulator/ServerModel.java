package tidebank.testbed.emulator;

import java.util.List;

/**
 * What goes on inside a shard server, without its sockets. Pure: time comes in, in microseconds.
 * The stand-in on sockets hands it what arrives and asks it what is done; a finer model of queues
 * can take its place.
 */
public interface ServerModel {
  /** A part that is done: its answer is due. */
  record Done(String part, long atUs) {}

  /**
   * A part arrives.
   *
   * @param workUs its work on a warm slot
   * @param untilUs when its gatherer stops waiting
   * @return whether it is taken; what is not never runs
   */
  boolean take(long nowUs, String part, long workUs, long untilUs);

  /**
   * A part is given up: what still waits is dropped, what runs runs on. Says whether it never ran.
   */
  boolean drop(long nowUs, String part);

  /** What is done by now, in order. */
  List<Done> done(long nowUs);

  /** When something will be done next; {@link Long#MAX_VALUE} if nothing is under way. */
  long nextUs();

  /** Takes no more from now on; what it holds it ends. */
  void drain();

  /** Started anew at this moment, cold. All that it held is forgotten. */
  void restart(long nowUs);

  /** The share of its capacity it has at a moment: below 1 while it is cold. */
  double warmth(long nowUs);

  /** Work it can do in a second when warm, in microseconds. */
  double capacityUsPerS();

  int inFlight();

  /** How busy it is, from 0 to 1. */
  double busy();
}
