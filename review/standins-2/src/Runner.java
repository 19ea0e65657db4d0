import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in for a plain runner: runs each request that expects this instance, records it, and
 * answers with its stamp. Refuses requests for other instances with 421.
 */
final class Runner {
  /** A request that ran, and when it arrived. */
  record Run(String id, String requestLine, byte[] body, long atMs) {}

  final String id;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;
  private final String service;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  Runner(String id, String service) throws IOException {
    this.id = id;
    this.service = service;
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Lab.daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
          sockets.add(socket);
            Lab.daemon(() -> serve(socket));
          }
        });
  }

  /** Ends the runner: it listens no more and its connections are closed. */
  void end() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  Map<String, Object> entry() {
    return entry("ready");
  }

  Map<String, Object> entry(String state) {
    return Json.map(
        "service", service, "address", "127.0.0.1:" + listener.getLocalPort(), "zone", "hall",
        "version", "v1", "slots", 6, "state", state, "coldRemainingMs", 0, "sequence", 1);
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      Http in = new Http(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Message request = in.read();
        String requestId = String.valueOf(request.header("X-Landingtrack-Request-Id"));
        boolean isMeant = id.equals(request.header("X-Landingtrack-Expect-Instance"));
        if (isMeant) {
          Lab.record("runner %s runs %s: %s, body of %d bytes", id, requestId, request.first(),
              request.body().length);
          runs.add(new Run(requestId, request.first(), request.body(), Lab.nowMs()));
          Thread.sleep(20);
        }
        byte[] body = ("run of " + requestId).getBytes(StandardCharsets.ISO_8859_1);
        String head =
            "HTTP/1.1 "
                + (isMeant ? "200 OK" : "421 Misdirected Request")
                + "\r\nX-Landingtrack-Request-Id: "
                + requestId
                + "\r\nX-Landingtrack-Instance-Id: "
                + id
                + (isMeant ? "\r\nX-Landingtrack-Response-Stamp: " + id + "." + runs.size() : "")
                + "\r\nContent-Length: "
                + body.length
                + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
      }
    } catch (IOException e) {
      // The caller left.
    }
  }
}
