import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  /** A whole message; header names keep their case. */
  record Message(String first, List<String[]> headers, byte[] body) {
    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equalsIgnoreCase(name)) {
          return header[1];
        }
      }
      return null;
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  private final InputStream in;

  Http(InputStream in) {
    this.in = new BufferedInputStream(in, 1 << 16);
  }

  private String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int b = in.read();
      if (b < 0) {
        throw new EOFException();
      }
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
  }

  private byte[] bytes(int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException();
    }
    return bytes;
  }

  /** Reads a message; {@code noBody} for an answer to HEAD. */
  Message read() throws IOException {
    String first = line();
    List<String[]> headers = new ArrayList<>();
    for (String line = line(); !line.isEmpty(); line = line()) {
      int colon = line.indexOf(':');
      headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
    }
    Message head = new Message(first, headers, new byte[0]);
    String coding = head.header("Transfer-Encoding");
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
      while (true) {
        int size = Integer.parseInt(line().split(";")[0].trim(), 16);
        if (size == 0) {
          while (!line().isEmpty()) {}
          break;
        }
        body.write(bytes(size));
        line();
      }
    } else if (head.header("Content-Length") != null) {
      body.write(bytes(Integer.parseInt(head.header("Content-Length"))));
    }
    return new Message(first, headers, body.toByteArray());
  }
}
