package tidebank.testbed.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.TimeUnit;

/** An event loop of one thread whose processor time can be read. */
final class EventLoopThread implements AutoCloseable {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final double NANOS_PER_US = 1000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final long thread;

  EventLoopThread() {
    thread = loop.submit(() -> Thread.currentThread().getId()).syncUninterruptibly().getNow();
  }

  EventLoop loop() {
    return loop;
  }

  /** The processor time that its thread has taken, in microseconds. */
  double processorTimeUs() {
    return THREADS.getThreadCpuTime(thread) / NANOS_PER_US;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    // Netty's shared executor holds on to the last task it ran, and by that to this loop and all
    // that waits in it, until it runs another.
    GlobalEventExecutor.INSTANCE.submit(() -> {}).syncUninterruptibly();
  }
}
