package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages of callers, servers and the system. */
final class Http {
  private Http() {}

  /** A message: its first line, its headers by name in lower case, its body. */
  record Message(String start, Map<String, String> headers, byte[] body, boolean whole) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String path() {
      return start.split(" ")[1];
    }
  }

  /** Reads a message, or returns null if the connection ended before its first line. */
  static Message read(InputStream in, boolean isAnswer) throws IOException {
    String start = readLine(in);
    if (start == null || start.isEmpty()) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
      line = readLine(in);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean whole = true;
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      whole = readChunks(in, body);
    } else if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      body.write(in.readNBytes(length));
      whole = body.size() == length;
    } else if (isAnswer) {
      body.write(in.readAllBytes());
    }
    return new Message(start, headers, body.toByteArray(), whole);
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body)
      throws IOException {
    while (true) {
      String size = readLine(in);
      if (size == null || size.isEmpty()) {
        return false;
      }
      int length = Integer.parseInt(size.trim(), 16);
      byte[] chunk = in.readNBytes(length);
      body.write(chunk);
      if (chunk.length < length || readLine(in) == null) {
        return false;
      }
      if (length == 0) {
        return true;
      }
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    if (b < 0) {
      return null;
    }
    while (b >= 0 && b != '\n') {
      if (b != '\r') {
        line.write(b);
      }
      b = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
