package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in of a server of a plain service. It runs each request that expects this server, and
 * answers with its id and a stamp. On a path that contains {@code unframed} its answer has no
 * length and ends with the connection; the second half of the body comes {@link #PAUSE_MS} later.
 */
final class Runner implements AutoCloseable {
  static final long PAUSE_MS = 700;
  static final String UNFRAMED = "unframed";

  /** A request that this server began to run. */
  record Run(long atNanos, String requestId, String path, String tenant) {}

  private final Record record;
  private final String id;
  private final String service;
  private final ServerSocket listener;
  private final List<Run> runs = new CopyOnWriteArrayList<>();

  Runner(Record record, String id, String service) throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  static void start(Runnable body) {
    Thread thread = new Thread(body);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  List<Run> runs() {
    return runs;
  }

  /** Returns the entry that this server keeps of itself in the store. */
  ObjectNode entry() {
    ObjectNode entry = new ObjectMapper().createObjectNode();
    entry.put("service", service).put("address", address()).put("zone", "gasabo-hall");
    entry.put("version", "v1").put("slots", 16).put("state", "ready");
    entry.put("coldRemainingMs", 0).put("sequence", 1);
    return entry;
  }

  /** Returns the whole body of the answer to a request. */
  static byte[] bodyOf(String requestId) {
    return ("answer to " + requestId + " ").repeat(40).getBytes(StandardCharsets.UTF_8);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      Http.Message request = Http.read(socket.getInputStream(), false);
      while (request != null) {
        boolean framed = answer(request, socket.getOutputStream());
        if (!framed) {
          return;
        }
        request = Http.read(socket.getInputStream(), false);
      }
    } catch (IOException e) {
      // The connection was closed or reset by the other side.
    }
  }

  /** Answers one request; returns false if the connection ends with the answer. */
  private boolean answer(Http.Message request, OutputStream out) throws IOException {
    String requestId = request.header("X-Landingtrack-Request-Id");
    String expected = request.header("X-Landingtrack-Expect-Instance");
    String head = "X-Landingtrack-Instance-Id: " + id + "\r\n";
    if (request.path().equals("/health")) {
      write(out, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n", new byte[0]);
      return true;
    }
    if (!expected.isEmpty() && !expected.equals(id)) {
      String misdirected = "HTTP/1.1 421 Misdirected Request\r\n" + head;
      write(out, misdirected + "Content-Length: 0\r\n\r\n", new byte[0]);
      return true;
    }
    String tenant = request.header("X-Landingtrack-Tenant");
    runs.add(new Run(System.nanoTime(), requestId, request.path(), tenant));
    record.line("server " + id + " runs " + requestId + ", tenant '" + tenant + "'");
    byte[] body = bodyOf(requestId);
    head += "X-Landingtrack-Request-Id: " + requestId + "\r\n";
    head += "X-Landingtrack-Response-Stamp: " + id + "." + requestId + "\r\n";
    if (!request.path().contains(UNFRAMED)) {
      String length = "Content-Length: " + body.length + "\r\n\r\n";
      write(out, "HTTP/1.1 200 OK\r\n" + head + length, body);
      return true;
    }
    int half = body.length / 2;
    write(
        out,
        "HTTP/1.1 200 OK\r\n" + head + "Connection: close\r\n\r\n",
        Arrays.copyOf(body, half));
    try {
      Thread.sleep(PAUSE_MS);
    } catch (InterruptedException e) {
      return false;
    }
    out.write(body, half, body.length - half);
    out.flush();
    return false;
  }

  private static void write(OutputStream out, String head, byte[] body) throws IOException {
    byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = Arrays.copyOf(start, start.length + body.length);
    System.arraycopy(body, 0, all, start.length, body.length);
    out.write(all);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
