package standins;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.CRC32;

/** A shard server that hands each part that has arrived to its work and writes the answers. */
final class ShardServer {
  /** A part that has arrived whole. */
  record Part(ShardServer server, String id, int shard, int limitMs, String text, Peer peer) {
    void good(String value) {
      peer.answer(id + " good " + score(value) + " -\n" + value);
    }

    void bad() {
      peer.answer(id + " bad 0 -\n");
    }

    void later() {
      peer.answer(id + " later 0 -\n");
    }

    private static long score(String value) {
      return Integer.parseUnsignedInt(value.substring(0, 8), 16) & 0x7fffffffL;
    }
  }

  /** What a server does with its parts. */
  interface Work {
    void arrived(Part part);

    default void cancelled(ShardServer server, String id) {}
  }

  /** The other end of a connection. */
  final class Peer {
    private final Socket socket;

    Peer(Socket socket) {
      this.socket = socket;
    }

    private synchronized void answer(String text) {
      try {
        write('q', text);
      } catch (IOException gone) {
        // The router has left; the work was done.
      }
    }

    private synchronized void write(char letter, String text) throws IOException {
      byte[] rest = text.getBytes(StandardCharsets.UTF_8);
      ByteBuffer frame = ByteBuffer.allocate(5 + rest.length);
      frame.putInt(1 + rest.length).put((byte) letter).put(rest);
      OutputStream out = socket.getOutputStream();
      out.write(frame.array());
      out.flush();
    }

    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException gone) {
        // Already closed.
      }
    }
  }

  final String name;
  final int position;
  private final Run run;
  private final Work work;
  private final Set<Peer> peers = ConcurrentHashMap.newKeySet();
  private ServerSocket socket;
  private int port;

  ShardServer(Run run, String name, int position, Work work) throws IOException {
    this.run = run;
    this.name = name;
    this.position = position;
    this.work = work;
    open();
  }

  /** The value that a shard server makes for a part. */
  static String value(String id, String text) {
    CRC32 crc = new CRC32();
    crc.update((id + "|" + text).getBytes(StandardCharsets.UTF_8));
    return String.format(Locale.ROOT, "%08x%08x", crc.getValue(), ~crc.getValue() & 0xffffffffL);
  }

  int port() {
    return port;
  }

  /** Starts to listen, at the same port after a restart. */
  void open() throws IOException {
    port = port == 0 ? Run.freePort() : port;
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 128);
    socket = opened;
    Thread accepting = new Thread(() -> accept(opened));
    accepting.setDaemon(true);
    accepting.start();
  }

  /** Dies: open connections are reset and new ones refused. */
  void die() throws IOException {
    socket.close();
    peers.forEach(Peer::reset);
    peers.clear();
  }

  private void accept(ServerSocket listening) {
    while (true) {
      try {
        Socket accepted = listening.accept();
        accepted.setTcpNoDelay(true);
        Thread serving = new Thread(() -> serve(new Peer(accepted)));
        serving.setDaemon(true);
        serving.start();
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Peer peer) {
    peers.add(peer);
    try (Socket connection = peer.socket) {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      while (true) {
        byte[] frame = new byte[in.readInt()];
        in.readFully(frame);
        handle(peer, frame);
      }
    } catch (IOException ended) {
      peers.remove(peer);
    }
  }

  private void handle(Peer peer, byte[] frame) throws IOException {
    String rest = new String(frame, 1, frame.length - 1, StandardCharsets.ISO_8859_1);
    switch (frame[0]) {
      case 'm' -> parts(peer, rest);
      case 'n' -> work.cancelled(this, rest);
      case 'o', 'p' -> peer.write((char) frame[0], "good");
      default -> {
        peer.write('r', "unknown letter");
        throw new IOException("unknown letter");
      }
    }
  }

  private void parts(Peer peer, String frame) {
    int at = 0;
    while (at < frame.length()) {
      int lineEnd = frame.indexOf('\n', at);
      String[] fields = frame.substring(at, lineEnd).split(" ");
      int length = Integer.parseInt(fields[3]);
      String text = frame.substring(lineEnd + 1, lineEnd + 1 + length);
      at = lineEnd + 1 + length;
      int limitMs = Integer.parseInt(fields[2].substring(2));
      work.arrived(new Part(this, fields[0], Integer.parseInt(fields[1]), limitMs, text, peer));
    }
  }
}
