package tidebank.cli;

public final class Tidebank {
  public static void main(String[] args) {}
}
