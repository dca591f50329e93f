package tidebank.model;

/** State that lives as long as the instance, for one kind of machine as the list names them. */
public final class Kind {
  /** What an answer from a server of this kind takes, 0 before the first. */
  public double typical;
}
