package tidebank.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.nio.AbstractNioChannel;
import tidebank.runtime.PolicyExecutor;

/**
 * Reads the input of a client's connection, ahead of the decoder. Input beyond the {@link
 * ParseQuota}, or behind responses that the client does not read, is not parsed, and no more is
 * read, until it is the connection's turn. Input behind the last request that is served is dropped
 * unparsed.
 *
 * <p>A disconnect is only found by reading all input before it. So a connection never waits for its
 * turn while requests of it are pending: what follows them is refused instead. A query is only sent
 * on if all input behind it was read.
 */
final class ClientInputHandler extends ChannelDuplexHandler {
  /** The most reads from one client's connection in an event loop pass; Netty's default. */
  static final int MAX_READS_PER_PASS = 16;

  /** The most repetitions of these reads to find the end of the input behind a query. */
  private static final int MAX_REPETITIONS = 4;

  /** RFC 9112, 2.2 ignores empty lines before a request; a server may limit them. */
  private static final int MAX_BLANK_BYTES = 1024;

  /** Responses beyond it that the socket does not take stop the parsing of further requests. */
  private static final int MAX_UNREAD_RESPONSE_BYTES = 4096;

  private final ClientConnection connection;
  private final PolicyExecutor executor;
  private final ClientInputScheduler scheduler;
  private final ParseQuota.Usage usage = new ParseQuota.Usage();
  private StrictRequestDecoder decoder;
  private ChannelHandlerContext context;
  private boolean quotaExceeded;

  /** Whether no message of the latest read was parsed yet; the number of reads is limited. */
  private boolean firstOfRead;

  private boolean paused;
  private boolean drained;
  private boolean repeating;
  private int reads;
  private int readLimit = MAX_READS_PER_PASS;
  private int blankBytes;

  ClientInputHandler(
      ClientConnection connection, PolicyExecutor executor, ClientInputScheduler scheduler) {
    this.connection = connection;
    this.executor = executor;
    this.scheduler = scheduler;
  }

  void setDecoder(StrictRequestDecoder newDecoder) {
    decoder = newDecoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext newContext) {
    context = newContext;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext oldContext) {
    scheduler.remove(this);
  }

  // ---- called by the decoder

  /** Returns whether input is dropped, as no further request is served. */
  boolean dropsInput() {
    return !connection.readsRequests();
  }

  /** Returns whether another message may be parsed now. */
  boolean mayParse() {
    boolean isPending = connection.hasPendingRequests();
    boolean isAllowed = scheduler.allows(usage, isPending) && (isPending || !hasUnreadResponses());
    quotaExceeded = !firstOfRead && !isAllowed;
    return !quotaExceeded;
  }

  /** Records that a message was parsed. The first one of each read does not count. */
  void recordMessage() {
    executor.clientMessageParsed();
    if (!firstOfRead) {
      scheduler.recordMessage(usage);
    }
    firstOfRead = false;
  }

  // ---- reading

  /** Reads all available input, or as much as is read of one connection at a time. */
  void readNow() {
    boolean mayRead = !paused || dropsInput();
    if (mayRead && context.channel() instanceof AbstractNioChannel channel && channel.isActive()) {
      channel.unsafe().read();
    }
  }

  /**
   * Reads until no input is left, so that a disconnect is found. If that takes far more reads than
   * the requests of a client, or requests were refused because there are too many, queries that
   * were not sent yet are refused instead.
   */
  void readToEnd() {
    readNow();
    finishReading();
  }

  private void finishReading() {
    for (int i = 0; i < MAX_REPETITIONS && !drained && !paused && !dropsInput(); i++) {
      repeating = true;
      readNow();
      repeating = false;
    }
    if (!drained && !paused && dropsInput()) {
      readOnce();
    }
    if (!drained) {
      connection.refuseUnsentQueries();
    }
  }

  /** Reads once, which suffices to find out whether any input was left. */
  private void readOnce() {
    repeating = true;
    readLimit = 1;
    context.channel().config().setAutoRead(false);
    readNow();
    if (!paused) {
      context.channel().config().setAutoRead(true);
    }
    readLimit = MAX_READS_PER_PASS;
    repeating = false;
  }

  @Override
  public void channelRead(ChannelHandlerContext unused, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    reads++;
    executor.clientInputRead(bytes.readableBytes());
    if (dropsInput()) {
      bytes.release();
      if (!connection.hasPendingRequests()) {
        // No disconnect has to be found, so one read for each turn is enough.
        pause();
      }
      return;
    }
    if (!StrictRequestDecoder.isBlank(bytes)) {
      blankBytes = 0;
      connection.requestBegan();
    } else if (!decoder.isWithinRequest()) {
      blankBytes += bytes.readableBytes();
    }
    firstOfRead = true;
    parse(bytes);
    if (blankBytes > MAX_BLANK_BYTES && !dropsInput()) {
      connection.refuseBlankInput();
    }
  }

  private void parse(ByteBuf bytes) {
    quotaExceeded = false;
    context.fireChannelRead(bytes);
    if (dropsInput()) {
      return;
    }
    if (decoder.isWithinRequest()) {
      connection.requestBegan();
    }
    if (quotaExceeded) {
      waitForTurn();
    }
  }

  private void waitForTurn() {
    if (connection.hasPendingRequests()) {
      connection.refuseFurtherRequests();
      // Lets the decoder drop the rest.
      context.fireChannelRead(Unpooled.EMPTY_BUFFER);
      return;
    }
    pause();
  }

  /** Stops reading until it is the connection's turn and the client has read its responses. */
  private void pause() {
    if (paused) {
      return;
    }
    paused = true;
    context.channel().config().setAutoRead(false);
    if (!hasUnreadResponses() || dropsInput()) {
      scheduler.resumeLater(this, context.channel().eventLoop());
      return;
    }
    connection.awaitResponsesRead();
    context
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (written.isSuccess()) {
                connection.responsesRead();
                scheduler.resumeLater(this, context.channel().eventLoop());
              }
            });
  }

  /** Returns whether the socket has not taken all responses, as the client does not read them. */
  private boolean hasUnreadResponses() {
    Channel channel = context.channel();
    long pendingBytes =
        channel.config().getWriteBufferHighWaterMark() - channel.bytesBeforeUnwritable();
    return pendingBytes > MAX_UNREAD_RESPONSE_BYTES;
  }

  /** Continues with the rest of the input; called when it is the connection's turn. */
  void resume() {
    paused = false;
    if (dropsInput()) {
      scheduler.recordDroppedRead();
    }
    parse(Unpooled.EMPTY_BUFFER);
    context.fireChannelReadComplete();
    if (!paused) {
      context.channel().config().setAutoRead(true);
      readToEnd();
    }
  }

  /** Handlers ask for more input if a request is incomplete; nothing is read while paused. */
  @Override
  public void read(ChannelHandlerContext unused) {
    if (!paused) {
      context.read();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext unused) {
    drained = !paused && reads < readLimit;
    reads = 0;
    if (drained) {
      connection.inputDrained();
    } else {
      connection.inputLeftUnread();
    }
    context.fireChannelReadComplete();
    if (!drained && !repeating) {
      finishReading();
    }
  }
}
