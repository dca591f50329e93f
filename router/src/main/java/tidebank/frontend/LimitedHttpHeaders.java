package tidebank.frontend;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Header fields of a request, limited in number. A parsed field needs many times its bytes on the
 * heap, so the limit on the bytes of a head does not bound the memory of its fields.
 */
final class LimitedHttpHeaders extends DefaultHttpHeaders {
  static final int MAX_FIELDS = 100;

  private LimitedHttpHeaders(DefaultHttpHeadersFactory validation) {
    super(validation.getNameValidator(), validation.getValueValidator());
  }

  /** Returns a factory of headers that also validates fields as this one does. */
  static HttpHeadersFactory factory(DefaultHttpHeadersFactory validation) {
    return new HttpHeadersFactory() {
      @Override
      public HttpHeaders newHeaders() {
        return new LimitedHttpHeaders(validation);
      }

      @Override
      public HttpHeaders newEmptyHeaders() {
        return new LimitedHttpHeaders(validation);
      }
    };
  }

  /**
   * Adds a field that was parsed.
   *
   * @throws IllegalArgumentException if there are too many fields, which fails the request
   */
  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    checkSize();
    return super.add(name, value);
  }

  /**
   * Adds a field that was parsed.
   *
   * @throws IllegalArgumentException if there are too many fields, which fails the request
   */
  @Override
  public HttpHeaders add(String name, Object value) {
    checkSize();
    return super.add(name, value);
  }

  private void checkSize() {
    if (size() >= MAX_FIELDS) {
      throw new IllegalArgumentException("more than " + MAX_FIELDS + " header fields");
    }
  }
}
