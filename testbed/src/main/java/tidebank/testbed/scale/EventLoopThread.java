package tidebank.testbed.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.TimeUnit;

/** An event loop with a thread of its own, and the processor time that this thread has used. */
final class EventLoopThread implements AutoCloseable {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final double NANOS_PER_US = 1000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final long threadId;

  EventLoopThread() {
    threadId = loop.submit(() -> Thread.currentThread().getId()).syncUninterruptibly().getNow();
  }

  EventLoop loop() {
    return loop;
  }

  /** Returns the processor time that the thread has used, in microseconds. */
  double processorTimeUs() {
    return THREADS.getThreadCpuTime(threadId) / NANOS_PER_US;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    // Netty's global executor references the last task that it ran, and so this event loop and its
    // queued tasks, until it runs another task.
    GlobalEventExecutor.INSTANCE.submit(() -> {}).syncUninterruptibly();
  }
}
