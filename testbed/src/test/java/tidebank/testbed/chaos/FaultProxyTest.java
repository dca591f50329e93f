package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Injects faults into the link to an echo server behind the proxy. */
@Timeout(30)
class FaultProxyTest {
  private final History history = new History();
  private final List<Socket> sockets = new ArrayList<>();
  private final Map<String, Long> pidByName = Map.of("me", ProcessHandle.current().pid());
  private FaultProxy proxy;
  private ServerSocket server;
  private InetSocketAddress listener;

  @BeforeEach
  void open() throws Exception {
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Thread acceptThread =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket accepted = server.accept();
                  Thread connectionThread =
                      new Thread(
                          () -> {
                            try (accepted) {
                              accepted.getInputStream().transferTo(accepted.getOutputStream());
                            } catch (IOException fault) {
                              // The test closed or reset the connection.
                            }
                          });
                  connectionThread.setDaemon(true);
                  connectionThread.start();
                }
              } catch (IOException fault) {
                // The test has ended and closed the server.
              }
            });
    acceptThread.setDaemon(true);
    acceptThread.start();
    proxy =
        new FaultProxy(
            (port, proxyPort) -> ConnectionOwners.findOwner(port, proxyPort, pidByName),
            history,
            1);
    listener =
        proxy.openListener("echo", (InetSocketAddress) server.getLocalSocketAddress(), false);
  }

  @AfterEach
  void close() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    proxy.close();
    server.close();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(listener.getAddress(), listener.getPort());
    socket.setSoTimeout(10_000);
    sockets.add(socket);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes());
  }

  private static String receive(Socket socket, int bytes) throws IOException {
    return new String(socket.getInputStream().readNBytes(bytes));
  }

  private void inject(FaultyLink.Fault fault, long ms, long bytesPerS) {
    proxy.inject("me", "echo", fault, ms * 1000, 0, bytesPerS);
  }

  /** Guards against silent links that deliver bytes, or lose them instead of holding them back. */
  @Test
  void silencedBytesArriveOnceTheFaultEnds() throws Exception {
    Socket socket = connect();
    send(socket, "one");
    assertThat(receive(socket, 3)).isEqualTo("one");
    for (FaultyLink.Fault fault :
        List.of(FaultyLink.Fault.SILENT_UP, FaultyLink.Fault.SILENT_DOWN, FaultyLink.Fault.CUT)) {
      inject(fault, 0, 0);
      send(socket, "two");
      socket.setSoTimeout(50);
      assertThatThrownBy(() -> receive(socket, 1))
          .as(fault.name())
          .isInstanceOf(SocketTimeoutException.class);
      inject(FaultyLink.Fault.HEAL, 0, 0);
      socket.setSoTimeout(10_000);
      assertThat(receive(socket, 3)).isEqualTo("two");
    }
  }

  /**
   * Guards against delays and bandwidth limits that do not apply, and against lost or reordered
   * bytes.
   */
  @Test
  void delayAndTrickleSlowDownWithoutLossOrReordering() throws Exception {
    Socket socket = connect();
    inject(FaultyLink.Fault.DELAY, 40, 0);
    long startNs = System.nanoTime();
    send(socket, "there and back");
    assertThat(receive(socket, 14)).isEqualTo("there and back");
    assertThat(System.nanoTime() - startNs).isGreaterThanOrEqualTo(80_000_000L);
    inject(FaultyLink.Fault.TRICKLE, 0, 1000);
    startNs = System.nanoTime();
    String text = "0123456789".repeat(20);
    send(socket, text);
    assertThat(receive(socket, 200)).isEqualTo(text);
    assertThat(System.nanoTime() - startNs)
        .as("200 bytes at 1,000 bytes per second")
        .isGreaterThanOrEqualTo(200_000_000L);
  }

  /**
   * Guards against a reset that affects later connections, a half-open connection whose caller
   * notices, and a refused link that carries data.
   */
  @Test
  void resetHalfOpenAndRefuseAffectTheirConnectionsOnly() throws Exception {
    Socket resetSocket = connect();
    send(resetSocket, "x");
    receive(resetSocket, 1);
    inject(FaultyLink.Fault.RESET, 0, 0);
    assertThatThrownBy(() -> receive(resetSocket, 1))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("reset");
    Socket halfOpenSocket = connect();
    send(halfOpenSocket, "y");
    assertThat(receive(halfOpenSocket, 1)).isEqualTo("y");
    inject(FaultyLink.Fault.HALF_OPEN, 0, 0);
    send(halfOpenSocket, "z");
    halfOpenSocket.setSoTimeout(50);
    assertThatThrownBy(() -> receive(halfOpenSocket, 1)).isInstanceOf(SocketTimeoutException.class);
    inject(FaultyLink.Fault.REFUSE, 0, 0);
    assertThatThrownBy(
            () -> {
              Socket refusedSocket = connect();
              send(refusedSocket, "a");
              receive(refusedSocket, 1);
              send(refusedSocket, "b");
              receive(refusedSocket, 1);
            })
        .isInstanceOf(IOException.class);
    inject(FaultyLink.Fault.HEAL, 0, 0);
    Socket healedSocket = connect();
    send(healedSocket, "w");
    assertThat(receive(healedSocket, 1)).isEqualTo("w");
  }

  /** Guards against connections that are attributed to the wrong process. */
  @Test
  void connectionOwnerIsFoundAmongGivenProcessesOnly() throws Exception {
    Socket socket = connect();
    send(socket, "x");
    receive(socket, 1);
    assertThat(ConnectionOwners.findOwner(socket.getLocalPort(), listener.getPort(), pidByName))
        .isEqualTo("me");
    assertThat(
            ConnectionOwners.findOwner(
                socket.getLocalPort(), listener.getPort(), Map.of("other", 1L)))
        .isNull();
    assertThat(ConnectionOwners.findOwner(1, listener.getPort(), pidByName)).isNull();
  }
}
