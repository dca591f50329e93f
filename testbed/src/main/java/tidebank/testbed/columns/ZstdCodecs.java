package tidebank.testbed.columns;

import com.github.luben.zstd.Zstd;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.parquet.bytes.BytesInput;
import org.apache.parquet.compression.CompressionCodecFactory;
import org.apache.parquet.hadoop.metadata.CompressionCodecName;

/**
 * Parquet's pages packed by zstd without Hadoop's codecs, whose libraries would come along
 * otherwise.
 */
public final class ZstdCodecs implements CompressionCodecFactory {
  private static final int LEVEL = 3;

  /** A page claims its size before it is unpacked; ours are far below this. */
  private static final int PAGE_MOST = 64 << 20;

  @Override
  public BytesInputCompressor getCompressor(CompressionCodecName codec) {
    known(codec);
    return new BytesInputCompressor() {
      @Override
      public BytesInput compress(BytesInput bytes) throws IOException {
        return codec == CompressionCodecName.UNCOMPRESSED
            ? bytes
            : BytesInput.from(Zstd.compress(bytes.toByteArray(), LEVEL));
      }

      @Override
      public CompressionCodecName getCodecName() {
        return codec;
      }

      @Override
      public void release() {}
    };
  }

  @Override
  public BytesInputDecompressor getDecompressor(CompressionCodecName codec) {
    known(codec);
    return new BytesInputDecompressor() {
      @Override
      public BytesInput decompress(BytesInput bytes, int size) throws IOException {
        return codec == CompressionCodecName.UNCOMPRESSED
            ? bytes
            : BytesInput.from(unpacked(bytes.toByteArray(), size));
      }

      @Override
      public void decompress(ByteBuffer in, int packed, ByteBuffer out, int size)
          throws IOException {
        byte[] bytes = new byte[packed];
        in.get(bytes);
        out.put(codec == CompressionCodecName.UNCOMPRESSED ? bytes : unpacked(bytes, size));
      }

      @Override
      public void release() {}
    };
  }

  private static byte[] unpacked(byte[] bytes, int size) throws IOException {
    if (size < 0 || size > PAGE_MOST) {
      throw new IOException("a page claims " + size + " bytes");
    }
    byte[] to = new byte[size];
    long found = Zstd.decompressByteArray(to, 0, size, bytes, 0, bytes.length);
    if (Zstd.isError(found) || found != size) {
      throw new IOException(
          "a page can't be unpacked: "
              + (Zstd.isError(found) ? Zstd.getErrorName(found) : found + " bytes"));
    }
    return to;
  }

  private static void known(CompressionCodecName codec) {
    if (codec != CompressionCodecName.ZSTD && codec != CompressionCodecName.UNCOMPRESSED) {
      throw new UnsupportedOperationException("pages packed by " + codec);
    }
  }

  @Override
  public void release() {}
}
