package standins;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The network between a router and one server. While it is cut, nothing passes in either direction:
 * as on a real network, what a side has written is still in that side's send buffer, and is sent
 * again and arrives once the cut is over, unless that side has reset the connection meanwhile,
 * which discards it. Connections that begin during a cut never carry anything and are reset at its
 * end.
 */
final class Link {
  private final Run run;
  private final String name;
  private final int target;
  private final ServerSocket listening;
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private boolean cut;

  Link(Run run, String name, int target) throws IOException {
    this.run = run;
    this.name = name;
    this.target = target;
    listening = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    daemon(this::accept);
  }

  int port() {
    return listening.getLocalPort();
  }

  synchronized void cut() {
    run.note("link to %s is cut", name);
    cut = true;
  }

  synchronized void heal() {
    run.note("link to %s is whole again", name);
    cut = false;
    connections.forEach(Connection::healed);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket router = listening.accept();
        synchronized (this) {
          connections.add(new Connection(router, cut));
        }
      } catch (IOException closed) {
        return;
      }
    }
  }

  private final class Connection {
    private final Socket router;
    private final Socket server;
    private final ByteArrayOutputStream toServer = new ByteArrayOutputStream();
    private final ByteArrayOutputStream toRouter = new ByteArrayOutputStream();
    private boolean dead;

    Connection(Socket router, boolean begunInCut) throws IOException {
      this.router = router;
      dead = begunInCut;
      router.setTcpNoDelay(true);
      server = begunInCut ? new Socket() : new Socket("127.0.0.1", target);
      if (!begunInCut) {
        server.setTcpNoDelay(true);
        daemon(() -> pump(server, router, toRouter));
      }
      daemon(() -> pump(router, server, toServer));
    }

    private void pump(Socket from, Socket to, ByteArrayOutputStream held) {
      byte[] buffer = new byte[1 << 16];
      try {
        for (int n = from.getInputStream().read(buffer);
            n >= 0;
            n = from.getInputStream().read(buffer)) {
          synchronized (Link.this) {
            if (dead) {
              continue;
            }
            if (cut) {
              held.write(buffer, 0, n);
            } else {
              to.getOutputStream().write(buffer, 0, n);
            }
          }
        }
        ended(from, to, held, false);
      } catch (IOException reset) {
        ended(from, to, held, true);
      }
    }

    /** One side has closed, or reset, which discards what it had not sent yet. */
    private void ended(Socket from, Socket to, ByteArrayOutputStream held, boolean reset) {
      synchronized (Link.this) {
        if (dead) {
          return;
        }
        if (reset && cut) {
          run.note("%d bytes discarded by a reset on the link to %s", held.size(), name);
          held.reset();
        }
        if (reset) {
          dead = true;
          close(from, true);
          if (!cut) {
            close(to, true);
          }
        } else if (!cut) {
          close(to, false);
        }
      }
    }

    private void healed() {
      if (dead) {
        close(router, true);
        close(server, true);
        connections.remove(this);
        return;
      }
      try {
        if (toServer.size() > 0) {
          run.note("%d bytes arrive late at %s", toServer.size(), name);
        }
        server.getOutputStream().write(toServer.toByteArray());
        router.getOutputStream().write(toRouter.toByteArray());
      } catch (IOException gone) {
        dead = true;
      }
      toServer.reset();
      toRouter.reset();
    }

    private static void close(Socket socket, boolean reset) {
      try {
        if (reset) {
          socket.setSoLinger(true, 0);
        }
        socket.close();
      } catch (IOException closed) {
        // Already closed.
      }
    }
  }
}
