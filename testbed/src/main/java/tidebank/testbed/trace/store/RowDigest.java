package tidebank.testbed.trace.store;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;
import tidebank.testbed.trace.order.Item;

/** A digest over rows in their order. */
final class RowDigest {
  private final HashStream64 hash = Hashing.xxh3_64().hashStream();

  void add(Item item) {
    hash.putLong(item.row().timeUs())
        .putString(item.row().tableType())
        .putInt(item.row().depot())
        .putInt(item.row().parts())
        .putString(item.row().key())
        .putDouble(item.row().weight())
        .putLong(item.row().workUs())
        .putString(item.row().account())
        .putLong(item.event());
  }

  String hex() {
    return HexFormat.of().toHexDigits(hash.getAsLong());
  }
}
