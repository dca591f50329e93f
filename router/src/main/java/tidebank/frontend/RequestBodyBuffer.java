package tidebank.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Copies the pieces of an incomplete body into one buffer, which counts towards the {@link
 * RequestBodyBudget}. Left as they are, the pieces would each retain the read buffer that they
 * arrived in, which may be many times their size. Passes the body on once it is complete or exceeds
 * the size limit, and drops the input of a connection that reads no further requests.
 */
final class RequestBodyBuffer extends ChannelInboundHandlerAdapter
    implements RequestBodyBudget.Body {
  private static final int INITIAL_BYTES = 256;

  private final ClientConnection connection;
  private final RequestBodyBudget budget;
  private final int maxBodyBytes;

  /** The body as far as it has arrived; null if there is none. */
  private ByteBuf body;

  RequestBodyBuffer(ClientConnection connection, RequestBodyBudget budget, int maxBodyBytes) {
    this.connection = connection;
    this.budget = budget;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!connection.readsRequests()) {
      ReferenceCountUtil.release(message);
    } else if (message instanceof LastHttpContent) {
      passOnBody(context);
      context.fireChannelRead(message);
    } else if (message instanceof HttpContent piece) {
      receivePiece(context, piece);
    } else {
      context.fireChannelRead(message);
    }
  }

  private void receivePiece(ChannelHandlerContext context, HttpContent piece) {
    int bytesBefore = body == null ? 0 : body.readableBytes();
    if (bytesBefore + piece.content().readableBytes() > maxBodyBytes) {
      passOnBody(context);
      context.fireChannelRead(piece);
      return;
    }
    try {
      if (body == null) {
        body = context.alloc().directBuffer(INITIAL_BYTES, maxBodyBytes);
      }
      body.writeBytes(piece.content());
    } finally {
      piece.release();
    }
    budget.resize(this, body.capacity());
    connection.recordIncompleteBodies(budget.peakBytes());
  }

  private void passOnBody(ChannelHandlerContext context) {
    if (body != null) {
      ByteBuf complete = body;
      body = null;
      budget.release(this);
      context.fireChannelRead(new DefaultHttpContent(complete));
    }
  }

  @Override
  public void drop() {
    release();
    connection.refuseForMemory();
  }

  /** Releases the body of a request that will not be completed. */
  void release() {
    budget.release(this);
    if (body != null) {
      body.release();
      body = null;
    }
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    release();
  }
}
