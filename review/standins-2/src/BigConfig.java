import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A configuration of almost value_bytes is in force. With trouble, the operator changes a time-out
 * in it some times. Judges CONFIG.
 */
final class BigConfig {
  private static final List<String> IPS = List.of("127.0.0.61", "127.0.0.62");

  /** The configuration with these routes is below value_bytes, 1,048,576. */
  private static final int OTHER_ROUTES = 3_700;

  private static final int VALUE_BYTES = 1_048_576;
  private static final int CHANGES = 8;
  private static final long CHANGE_INTERVAL_MS = 3_000;
  private static final long TIMEOUT_MS = 300;
  private static final long LATE_MS = 500;

  /** The processes are in touch once they have run undisturbed for 3 s. */
  private static final long BEFORE_MS = 6_000;

  private static final long REQUEST_INTERVAL_MS = 25;

  private final List<Lab.Machine> machines = new ArrayList<>();
  private final List<Long> durations = new CopyOnWriteArrayList<>();
  private volatile boolean ended;

  private BigConfig() {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Lab.open(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = Lab.NOT_RUN;
    try {
      code = new BigConfig().run(root, Lab.newFolder(), trouble);
    } catch (Exception e) {
      Lab.record("the case could not run: %s", e);
    } finally {
      Lab.endAll();
    }
    System.exit(code);
  }

  private int run(Path root, Path folder, boolean trouble) throws Exception {
    Store store = new Store();
    Map<String, Object> first = config(1);
    int bytes = Json.write(first).length();
    Lab.record("the configuration has %d routes and %d bytes", OTHER_ROUTES + 1, bytes);
    if (bytes > VALUE_BYTES) {
      return Lab.NOT_RUN;
    }
    store.put("config", "main", first);
    for (int n = 1; n <= 3; n++) {
      Runner runner = new Runner("i-" + n, "portal");
      store.put("servers", runner.id, runner.entry());
    }
    Lab.Ports ports = Lab.Ports.free(IPS);
    for (String ip : IPS) {
      String name = "front-" + (machines.size() + 1);
      machines.add(new Lab.Machine(root, folder, name, ip, ports, IPS, store.address()));
    }
    for (Lab.Machine machine : machines) {
      machine.writeSettings(true);
      machine.start();
    }
    for (Lab.Machine machine : machines) {
      machine.awaitReady();
    }
    Thread.sleep(BEFORE_MS);
    Lab.daemon(this::sendRequests);
    for (int n = 0; n < CHANGES; n++) {
      Thread.sleep(CHANGE_INTERVAL_MS);
      if (trouble) {
        store.put("config", "main", config(2 + n));
        Lab.record("the store has taken version %d of the configuration", 2 + n);
      }
    }
    Thread.sleep(CHANGE_INTERVAL_MS);
    ended = true;
    Thread.sleep(3_000);
    return judge();
  }

  /** Returns a version; the time-out of one of the other routes differs from version to version. */
  private static Map<String, Object> config(int version) {
    List<Object> routes = new ArrayList<>();
    Map<String, Object> route = Lab.route("/status/", "safe");
    route.put("timeoutMs", TIMEOUT_MS);
    routes.add(route);
    for (int n = 0; n < OTHER_ROUTES; n++) {
      Map<String, Object> other = Lab.route(String.format("/other%05d/", n), "unsafe");
      other.put("timeoutMs", n == 0 ? 1_200 + version : 1_200);
      routes.add(other);
    }
    Map<String, Object> config = Lab.config(routes);
    config.put("version", version);
    return config;
  }

  private void sendRequests() throws Exception {
    for (int n = 0; !ended; n++) {
      String id = String.format("r%015d", n);
      Lab.Machine machine = machines.get(n % machines.size());
      Lab.daemon(
          () -> {
            long sentMs = Lab.nowMs();
            String result = Lab.send(machine, Lab.request("GET", "/status/quote", id), 5_000);
            long tookMs = Lab.nowMs() - sentMs;
            durations.add(tookMs);
            Lab.record("request %s to %s: %s after %d ms", id, machine.name, result, tookMs);
          });
      Thread.sleep(REQUEST_INTERVAL_MS);
    }
  }

  private int judge() {
    int past = 0;
    int held = 0;
    long longestMs = 0;
    for (long durationMs : durations) {
      past += durationMs > TIMEOUT_MS ? 1 : 0;
      held += durationMs > TIMEOUT_MS + LATE_MS ? 1 : 0;
      longestMs = Math.max(longestMs, durationMs);
    }
    Lab.record("%d requests; %d had no answer at the %d ms of their route, %d of these none %d ms"
        + " later; the longest took %d ms", durations.size(), past, TIMEOUT_MS, held, LATE_MS,
        longestMs);
    return held >= 8 && held * 4 > past ? Lab.BROKEN : Lab.HELD;
  }
}
