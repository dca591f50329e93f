import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A shard server that speaks the frames of the protocol page. It answers each part with a value of
 * its own; a {@link Behaviour} may do something else.
 */
final class ShardServer {
  /** One part of a call, as it was read. */
  record Part(String id, int shard, int deadlineMs, byte[] text, double atMs, Link link) {}

  /** What the server does with a part. */
  interface Behaviour {
    void handle(Part part) throws IOException, InterruptedException;
  }

  /** One connection. */
  final class Link {
    final Socket socket;
    private final OutputStream out;

    Link(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    void sendBytes(byte[] bytes) throws IOException {
      synchronized (out) {
        out.write(bytes);
        out.flush();
      }
    }

    void sendFrame(byte[] body) throws IOException {
      sendBytes(frame(body));
    }

    /** Answers a part as a sound server does. */
    void answer(Part part, String end) throws IOException {
      String value = end.equals("good") ? valueOf(part.id(), part.text()) : "";
      record.add(name, "answers " + part.id() + " " + end + " value=" + value);
      sendFrame(answerBody(part, end, value));
      endedAt.putIfAbsent(part.id(), record.nowMs());
    }
  }

  final String name;
  final RunRecord record;
  final List<Part> parts = new CopyOnWriteArrayList<>();

  /** When each part ended here: answered, given up by the gatherer, or its connection closed. */
  final Map<String, Double> endedAt = new ConcurrentHashMap<>();
  private final ServerSocketChannel listener;
  private volatile Behaviour behaviour;
  private boolean standsStill;

  ShardServer(String name, RunRecord record) throws IOException {
    this(name, record, 0, 0);
  }

  /** Creates a server with a segment size and a receive buffer of these bytes; 0 stands for the system's. */
  ShardServer(String name, RunRecord record, int segment, int receiveBuffer) throws IOException {
    this.name = name;
    this.record = record;
    this.behaviour = part -> part.link().answer(part, "good");
    this.listener = ServerSocketChannel.open();
    if (receiveBuffer > 0) {
      listener.setOption(StandardSocketOptions.SO_RCVBUF, receiveBuffer);
    }
    if (segment > 0) {
      limitSegments(segment);
    }
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
    Lab.daemon("accept-" + name, this::acceptAll);
  }

  /** Sets the segment size by reflection, so that the other cases do without {@code Segments}. */
  private void limitSegments(int bytes) {
    try {
      Class.forName("Segments").getDeclaredMethod("limit", ServerSocketChannel.class, int.class).invoke(null, listener, bytes);
    } catch (ReflectiveOperationException | LinkageError fault) {
      throw new Lab.Unplayable("the segment size could not be set: " + fault.getCause());
    }
  }

  String dial() {
    return "127.0.0.1:" + listener.socket().getLocalPort();
  }

  void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /** Stands still as a stopped process does, which reads nothing either; or goes on. */
  synchronized void standStill(boolean still) {
    standsStill = still;
    record.add(name, still ? "stands still" : "goes on");
    notifyAll();
  }

  private synchronized void awaitGoing() {
    while (standsStill) {
      try {
        wait();
      } catch (InterruptedException ended) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** The value made for a part: it depends on the id, the shard and the text. */
  static String valueOf(String id, byte[] text) {
    String made = id + "/" + new String(text, StandardCharsets.UTF_8);
    long hash = 0xcbf29ce484222325L;
    for (byte octet : made.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (octet & 0xff)) * 0x100000001b3L;
    }
    return String.format("%016x", hash);
  }

  static byte[] answerBody(Part part, String end, String value) {
    String line = "q" + part.id() + " " + end + " " + Math.abs(value.hashCode()) + " -\n";
    return (line + value).getBytes(StandardCharsets.UTF_8);
  }

  static byte[] frame(byte[] body) {
    byte[] whole = new byte[4 + body.length];
    java.nio.ByteBuffer.wrap(whole).putInt(body.length).put(body);
    return whole;
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket socket = listener.accept().socket();
      socket.setTcpNoDelay(true);
      Lab.daemon("link-" + name, () -> serve(socket));
    }
  }

  private void serve(Socket socket) {
    try {
      Link link = new Link(socket);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      while (true) {
        byte[] body = readFrame(in);
        switch (body[0]) {
          case 'm' -> readCall(body, link);
          case 'n' -> {
            String id = new String(body, 1, body.length - 1, StandardCharsets.US_ASCII);
            record.add(name, "is told to give up " + id);
            endedAt.putIfAbsent(id, record.nowMs());
          }
          case 'o' -> link.sendFrame("ogood".getBytes());
          case 'p' -> link.sendFrame("p-".getBytes());
          default -> throw new IOException("unknown letter " + body[0]);
        }
      }
    } catch (IOException end) {
      record.add(name, "connection ended: " + end);
    } finally {
      for (Part part : parts) {
        if (part.link().socket == socket) {
          endedAt.putIfAbsent(part.id(), record.nowMs());
        }
      }
    }
  }

  private byte[] readFrame(DataInputStream in) throws IOException {
    int length = in.readInt();
    awaitGoing();
    byte[] body = new byte[length];
    in.readFully(body);
    return body;
  }

  private void readCall(byte[] body, Link link) throws IOException {
    List<Part> read = new ArrayList<>();
    int position = 1;
    while (position < body.length) {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      while (body[position] != '\n') {
        line.write(body[position++]);
      }
      position++;
      String[] fields = line.toString(StandardCharsets.US_ASCII).split(" ");
      int length = Integer.parseInt(fields[3]);
      byte[] text = java.util.Arrays.copyOfRange(body, position, position + length);
      position += length;
      int deadlineMs = Integer.parseInt(fields[2].substring(2));
      int shard = Integer.parseInt(fields[1]);
      read.add(new Part(fields[0], shard, deadlineMs, text, record.nowMs(), link));
    }
    for (Part part : read) {
      parts.add(part);
      record.add(name, "got " + part.id() + " d=" + part.deadlineMs() + " text=" + part.text().length);
      Lab.daemon("part", () -> {
        awaitGoing();
        behaviour.handle(part);
      });
    }
  }
}
