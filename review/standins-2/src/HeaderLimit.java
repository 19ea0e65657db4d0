import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep connections to a machine. With trouble, its process is killed and started again, and
 * the clients connect anew at once. Later each sends a request whose header is within the limits of
 * the only configuration. Judges DENIED.
 */
final class HeaderLimit {
  private static final List<String> IPS = List.of("127.0.0.31", "127.0.0.32");
  private static final int CLIENTS = 40;
  private static final int ROUNDS = 3;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int LONG_HEADER_BYTES = 20_000;
  private static final long RESTART_DELAY_MS = 200;

  /** The machine is in touch again 3 s after its start; the rest is a margin. */
  private static final long IN_TOUCH_MS = 5_000;

  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger denied = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();

  private HeaderLimit() {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Lab.open(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = Lab.NOT_RUN;
    try {
      code = new HeaderLimit().run(root, Lab.newFolder(), trouble);
    } catch (Exception e) {
      Lab.record("the case could not run: %s", e);
    } finally {
      Lab.endAll();
    }
    System.exit(code);
  }

  private int run(Path root, Path folder, boolean trouble) throws Exception {
    Store store = new Store();
    Map<String, Object> config = Lab.config(List.of(Lab.route("/status/", "safe")));
    config.put(
        "limits",
        Json.map("maxHeaderBytes", MAX_HEADER_BYTES, "maxBodyBytes", 4194304, "headerTimeoutMs",
            3000, "idleTimeoutMs", 15000));
    store.put("config", "main", config);
    for (int n = 1; n <= 3; n++) {
      Runner runner = new Runner("i-" + n, "portal");
      store.put("servers", runner.id, runner.entry());
    }
    Lab.Ports ports = Lab.Ports.free(IPS);
    Lab.Machine first =
        new Lab.Machine(root, folder, "front-1", IPS.get(0), ports, IPS, store.address());
    Lab.Machine second =
        new Lab.Machine(root, folder, "front-2", IPS.get(1), ports, IPS, store.address());
    for (Lab.Machine machine : List.of(first, second)) {
      machine.writeSettings(true);
      machine.start();
    }
    first.awaitReady();
    second.awaitReady();
    Thread.sleep(2_000);

    for (int round = 0; round < ROUNDS; round++) {
      runRound(first, round, trouble);
    }
    return judge();
  }

  private void runRound(Lab.Machine first, int round, boolean trouble) throws Exception {
    CountDownLatch finished = new CountDownLatch(CLIENTS);
    if (trouble) {
      first.signal("KILL");
      first.process().waitFor();
    }
    for (int n = 0; n < CLIENTS; n++) {
      int client = round * CLIENTS + n;
      Lab.daemon(
          () -> {
            try {
              runClient(first, client);
            } finally {
              finished.countDown();
            }
          });
    }
    if (trouble) {
      Thread.sleep(RESTART_DELAY_MS);
      first.writeSettings(false);
      first.start();
    }
    first.awaitReady();
    finished.await();
  }

  private void runClient(Lab.Machine machine, int client) throws Exception {
    try (Socket socket = connect(machine)) {
      socket.setSoTimeout(4_000);
      Http in = new Http(socket.getInputStream());
      request(socket, in, client, 1, 0);
      Thread.sleep(IN_TOUCH_MS);
      request(socket, in, client, 2, LONG_HEADER_BYTES);
    } catch (IOException e) {
      Lab.record("client %d: %s", client, e);
    }
  }

  private static Socket connect(Lab.Machine machine) throws Exception {
    while (true) {
      Socket socket = new Socket();
      try {
        socket.connect(new InetSocketAddress(machine.ip, machine.ports.front()), 1_000);
        return socket;
      } catch (IOException e) {
        socket.close();
        Thread.sleep(2);
      }
    }
  }

  private void request(Socket socket, Http in, int client, int number, int cookieBytes)
      throws IOException {
    String id = String.format("c%07dn%07d", client, number);
    String head =
        "GET /status/quote HTTP/1.1\r\nHost: " + Lab.HOST + "\r\nX-Landingtrack-Request-Id: " + id
            + "\r\nX-Landingtrack-Deadline-Ms: 2500\r\nApi-Key: key-of-shop\r\n"
            + (cookieBytes == 0 ? "" : "Cookie: c=" + "x".repeat(cookieBytes) + "\r\n")
            + "\r\n";
    requests.incrementAndGet();
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    Http.Message answer = in.read();
    boolean isOwn = answer.header("X-Landingtrack-Response-Stamp") == null;
    int status = answer.status();
    boolean isDenied =
        isOwn && status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
    denied.addAndGet(isDenied ? 1 : 0);
    served.addAndGet(status == 200 ? 1 : 0);
    Lab.record("client %d sends %s with a head of %d bytes of %d: %d%s", client, id, head.length(),
        MAX_HEADER_BYTES, status, isDenied ? ", an answer of the machine's own" : "");
  }

  private int judge() {
    double bound = 5 + requests.get() / 500.0;
    Lab.record(
        "%d requests, %d served, %d ended with a 3xx or 4xx of the machine's own; bound %.1f",
        requests.get(), served.get(), denied.get(), bound);
    return denied.get() > bound ? Lab.BROKEN : Lab.HELD;
  }
}
