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

/** One listener before a server that sends back what it gets, and what may be done to the link. */
@Timeout(30)
class FaultProxyTest {
  private final History history = new History();
  private final List<Socket> sockets = new ArrayList<>();
  private final Map<String, Long> processes = Map.of("me", ProcessHandle.current().pid());
  private FaultProxy proxy;
  private ServerSocket server;
  private InetSocketAddress listener;

  @BeforeEach
  void open() throws Exception {
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Thread echo =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket one = server.accept();
                  Thread each =
                      new Thread(
                          () -> {
                            try (one) {
                              one.getInputStream().transferTo(one.getOutputStream());
                            } catch (IOException gone) {
                              // As the test wanted.
                            }
                          });
                  each.setDaemon(true);
                  each.start();
                }
              } catch (IOException closed) {
                // The test is over.
              }
            });
    echo.setDaemon(true);
    echo.start();
    proxy =
        new FaultProxy(
            (port, proxyPort) -> ConnectionOwners.findOwner(port, proxyPort, processes),
            history,
            1);
    listener =
        proxy.openListener("echo", (InetSocketAddress) server.getLocalSocketAddress(), false);
  }

  @AfterEach
  void close() throws IOException {
    for (Socket one : sockets) {
      one.close();
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

  private static String got(Socket socket, int bytes) throws IOException {
    return new String(socket.getInputStream().readNBytes(bytes));
  }

  private void put(FaultyLink.Fault fault, long ms, long bytesPerS) {
    proxy.inject("me", "echo", fault, ms * 1000, 0, bytesPerS);
  }

  @Test
  void silenceHoldsWhatIsSentInOneDirectionUntilItEnds() throws Exception {
    Socket socket = connect();
    send(socket, "one");
    assertThat(got(socket, 3)).isEqualTo("one");
    for (FaultyLink.Fault fault :
        List.of(FaultyLink.Fault.SILENT_UP, FaultyLink.Fault.SILENT_DOWN, FaultyLink.Fault.CUT)) {
      put(fault, 0, 0);
      send(socket, "two");
      socket.setSoTimeout(50);
      assertThatThrownBy(() -> got(socket, 1))
          .as(fault.name())
          .isInstanceOf(SocketTimeoutException.class);
      put(FaultyLink.Fault.HEAL, 0, 0);
      socket.setSoTimeout(10_000);
      assertThat(got(socket, 3)).isEqualTo("two");
    }
  }

  @Test
  void delaysAddUpAndTricklesTakeTheirTimeAndNothingIsLostOrSwapped() throws Exception {
    Socket socket = connect();
    put(FaultyLink.Fault.DELAY, 40, 0);
    long before = System.nanoTime();
    send(socket, "there and back");
    assertThat(got(socket, 14)).isEqualTo("there and back");
    assertThat(System.nanoTime() - before).isGreaterThanOrEqualTo(80_000_000L);
    put(FaultyLink.Fault.TRICKLE, 0, 1000);
    before = System.nanoTime();
    String text = "0123456789".repeat(20);
    send(socket, text);
    assertThat(got(socket, 200)).isEqualTo(text);
    assertThat(System.nanoTime() - before)
        .as("200 bytes at 1,000 a second")
        .isGreaterThanOrEqualTo(200_000_000L);
  }

  @Test
  void aResetBreaksWhatThereIsARefusalWhatComesAndAHalfOpenOneIsNeverTold() throws Exception {
    Socket first = connect();
    send(first, "x");
    got(first, 1);
    put(FaultyLink.Fault.RESET, 0, 0);
    assertThatThrownBy(() -> got(first, 1))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("reset");
    Socket second = connect();
    send(second, "y");
    assertThat(got(second, 1)).isEqualTo("y");
    put(FaultyLink.Fault.HALF_OPEN, 0, 0);
    send(second, "z");
    second.setSoTimeout(50);
    assertThatThrownBy(() -> got(second, 1)).isInstanceOf(SocketTimeoutException.class);
    put(FaultyLink.Fault.REFUSE, 0, 0);
    assertThatThrownBy(
            () -> {
              Socket third = connect();
              send(third, "a");
              got(third, 1);
              send(third, "b");
              got(third, 1);
            })
        .isInstanceOf(IOException.class);
    put(FaultyLink.Fault.HEAL, 0, 0);
    Socket fourth = connect();
    send(fourth, "w");
    assertThat(got(fourth, 1)).isEqualTo("w");
  }

  @Test
  void whoCallsIsKnownByTheSystemAndAStrangerIsTurnedAway() throws Exception {
    Socket socket = connect();
    send(socket, "x");
    got(socket, 1);
    assertThat(ConnectionOwners.findOwner(socket.getLocalPort(), listener.getPort(), processes))
        .isEqualTo("me");
    assertThat(
            ConnectionOwners.findOwner(
                socket.getLocalPort(), listener.getPort(), Map.of("other", 1L)))
        .isNull();
    assertThat(ConnectionOwners.findOwner(1, listener.getPort(), processes)).isNull();
  }
}
