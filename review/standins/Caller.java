package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends each request on a connection of its own. */
final class Caller {
  static final String HOST = "quotes.example";
  private static final AtomicInteger IDS = new AtomicInteger();

  /** A request and what came back; {@code answer} is null if the connection ended before it. */
  record Exchange(long sentNanos, String id, String key, Http.Message answer) {
    /** Returns the status, or 0 without a whole answer. */
    int status() {
      return answer == null || !answer.whole() ? 0 : answer.status();
    }
  }

  private final Record record;

  Caller(Record record) {
    this.record = record;
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @param key the API key, or an empty text to send none
   */
  Exchange send(String vm, String method, String path, String key, long deadlineMs) {
    String id = String.format("%016x", 0x9c41d07be2a30000L + IDS.incrementAndGet());
    long sentNanos = System.nanoTime();
    Http.Message answer = null;
    try (Socket socket = new Socket()) {
      int colon = vm.lastIndexOf(':');
      socket.connect(
          new InetSocketAddress(vm.substring(0, colon), Integer.parseInt(vm.substring(colon + 1))),
          1_000);
      socket.setSoTimeout((int) deadlineMs);
      String text =
          method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n"
              + "X-Landingtrack-Request-Id: " + id + "\r\n"
              + "X-Landingtrack-Deadline-Ms: " + deadlineMs + "\r\n"
              + (key.isEmpty() ? "" : "Api-Key: " + key + "\r\n")
              + (method.equals("GET") ? "" : "Content-Length: 0\r\n")
              + "\r\n";
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      answer = Http.read(socket.getInputStream(), true);
    } catch (IOException e) {
      record.line("client: " + id + " got no answer: " + e);
    }
    Exchange exchange = new Exchange(sentNanos, id, key, answer);
    String with = key.isEmpty() ? "no key" : "key " + key;
    String got = answer == null ? "no answer" : describe(answer);
    String request = method + " " + path + " " + id;
    record.line("client: " + request + ", " + with + ", to " + vm + ": " + got);
    return exchange;
  }

  private static String describe(Http.Message answer) {
    String end = answer.whole() ? "" : ", broken off";
    return answer.start() + ", " + answer.body().length + " bytes" + end;
  }
}
