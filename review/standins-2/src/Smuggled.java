import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients upload a text whose lines look like a request. With trouble, the head of the upload names
 * a transfer coding that does not state where the body ends; without it, a length. Counts what
 * runners run beyond the uploads as they were sent.
 */
final class Smuggled {
  /** Transfer codings of the uploads with trouble. */
  private static final List<String> CODINGS =
      List.of("identity", "gzip", "identity", "identity", "gzip", "identity");

  private static final int ANSWER_TIMEOUT_MS = 4_000;

  private Smuggled() {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Lab.open(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Lab.newFolder();
    int code = Lab.NOT_RUN;
    try {
      code = run(root, folder, trouble);
    } catch (Exception e) {
      Lab.record("the case could not run: %s", e);
    } finally {
      Lab.endAll();
    }
    System.exit(code);
  }

  private static int run(Path root, Path folder, boolean trouble) throws Exception {
    Store store = new Store();
    store.put(
        "config",
        "main",
        Lab.config(List.of(Lab.route("/upload/", "unsafe"), publicRoute())));
    List<Runner> runners = new ArrayList<>();
    for (int n = 1; n <= 3; n++) {
      Runner runner = new Runner("i-" + n, "portal");
      store.put("servers", runner.id, runner.entry());
      runners.add(runner);
    }
    List<String> ips = List.of("127.0.0.11");
    Lab.Machine entry =
        new Lab.Machine(
            root, folder, "front-1", ips.get(0), Lab.Ports.free(ips), ips, store.address());
    entry.writeSettings(true);
    entry.start();
    entry.awaitReady();

    Map<String, byte[]> sent = new HashMap<>();
    for (int n = 1; n <= CODINGS.size(); n++) {
      String id = String.format("upload%010d", n);
      byte[] text = text(n);
      sent.put(id, text);
      upload(entry, id, text, trouble ? "Transfer-Encoding: " + CODINGS.get(n - 1) : null);
    }
    Thread.sleep(500);
    return judge(runners, sent);
  }

  private static Map<String, Object> publicRoute() {
    Map<String, Object> route = Lab.route("/status/", "unsafe");
    route.put("public", true);
    return route;
  }

  /** Returns the uploaded text; its lines look like a request to a public route. */
  private static byte[] text(int n) {
    String text =
        "POST /status/cancel-quote HTTP/1.1\r\n"
            + "Host: " + Lab.HOST + "\r\n"
            + String.format("X-Landingtrack-Request-Id: inner%011d\r\n", n)
            + "X-Landingtrack-Deadline-Ms: 1000\r\n"
            + "Content-Length: 6\r\n"
            + "\r\n"
            + "quote7";
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Sends one request on a connection of its own and reads what comes back. */
  private static void upload(Lab.Machine entry, String id, byte[] text, String coding)
      throws IOException {
    String head =
        "POST /upload/drawing HTTP/1.1\r\n"
            + "Host: " + Lab.HOST + "\r\n"
            + "X-Landingtrack-Request-Id: " + id + "\r\n"
            + "X-Landingtrack-Deadline-Ms: 2500\r\n"
            + "Api-Key: key-of-shop\r\n"
            + (coding == null ? "Content-Length: " + text.length : coding)
            + "\r\n\r\n";
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(entry.ip, entry.ports.front()), 1_000);
      socket.setSoTimeout(ANSWER_TIMEOUT_MS);
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
      bytes.write(text);
      Lab.record("client sends %s: POST /upload/drawing, %s, body of %d bytes", id,
          coding == null ? "with its length" : coding, text.length);
      socket.getOutputStream().write(bytes.toByteArray());
      Http in = new Http(socket.getInputStream());
      for (int answers = 1; answers <= 2; answers++) {
        Http.Message answer = in.read();
        Lab.record("client of %s gets answer %d: %d for request %s", id, answers, answer.status(),
            answer.header("X-Landingtrack-Request-Id"));
        socket.setSoTimeout(500);
      }
    } catch (SocketTimeoutException e) {
      Lab.record("client of %s gets nothing more", id);
    } catch (IOException e) {
      Lab.record("client of %s: connection ended (%s)", id, e);
    }
  }

  private static int judge(List<Runner> runners, Map<String, byte[]> sent) {
    int broken = 0;
    int whole = 0;
    for (Runner runner : runners) {
      for (Runner.Run run : runner.runs) {
        byte[] body = sent.get(run.id());
        if (body == null) {
          broken++;
          Lab.record("UNASKED: %s ran %s, which no client sent: it stood in a body", runner.id,
              run.id());
        } else if (!Arrays.equals(body, run.body())) {
          broken++;
          Lab.record("UNASKED: %s ran %s with a body of %d bytes, the client's has %d", runner.id,
              run.id(), run.body().length, body.length);
        } else {
          whole++;
        }
      }
    }
    Lab.record("%d uploads sent, %d run as sent, %d runs that nobody sent so", sent.size(), whole,
        broken);
    return broken > 0 ? Lab.BROKEN : Lab.HELD;
  }
}
