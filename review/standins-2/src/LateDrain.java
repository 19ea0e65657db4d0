import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves entries that can't be read among the servers; right after that a runner
 * states that it leaves. Without trouble, there are no such entries. Judges DRAIN.
 */
final class LateDrain {
  private static final List<String> IPS = List.of("127.0.0.51", "127.0.0.52");

  /** Each entry is below value_bytes, 1,048,576. */
  private static final int ENTRY_CHARS = 1_000_000;

  private static final int ENTRIES = 20;
  private static final long WRITE_INTERVAL_MS = 30;
  private static final long DRAIN_TIMEOUT_MS = 2_000;

  /** The runner serves on for this long after its drain timeout, and ends. */
  private static final long SERVES_ON_MS = 1_500;

  /** The processes are in touch once they have run undisturbed for 3 s. */
  private static final long BEFORE_MS = 5_000;

  private static final long MEASURED_MS = 12_000;
  private static final long LAST_ANSWERS_MS = 1_500;
  private static final long REQUEST_INTERVAL_MS = 25;

  private final List<Lab.Machine> machines = new ArrayList<>();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean ended;

  private LateDrain() {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Lab.open(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = Lab.NOT_RUN;
    try {
      code = new LateDrain().run(root, Lab.newFolder(), trouble);
    } catch (Exception e) {
      Lab.record("the case could not run: %s", e);
    } finally {
      Lab.endAll();
    }
    System.exit(code);
  }

  private int run(Path root, Path folder, boolean trouble) throws Exception {
    Store store = new Store();
    store.put("config", "main", Lab.config(List.of(Lab.route("/send/", "unsafe"))));
    List<Runner> runners = new ArrayList<>();
    for (int n = 1; n <= 3; n++) {
      Runner runner = new Runner("i-" + n, "portal");
      store.put("servers", runner.id, runner.entry());
      runners.add(runner);
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
    Lab.daemon(this::sendRequests);
    Thread.sleep(BEFORE_MS);

    for (int n = 0; trouble && n < ENTRIES; n++) {
      store.put("servers", String.format("other-%04d", n), "?".repeat(ENTRY_CHARS));
      Thread.sleep(WRITE_INTERVAL_MS);
    }
    Lab.record("entries of another writer in servers: %d", trouble ? ENTRIES : 0);
    Runner leaving = busiest(runners);
    store.put("servers", leaving.id, leaving.entry("draining"));
    long acknowledgedMs = Lab.nowMs();
    Lab.record("the store has taken that %s is draining", leaving.id);
    Thread.sleep(DRAIN_TIMEOUT_MS + SERVES_ON_MS);
    leaving.end();
    store.delete("servers", leaving.id);
    Lab.record("%s has ended, and its entry is gone", leaving.id);
    Thread.sleep(MEASURED_MS);
    ended = true;
    Thread.sleep(LAST_ANSWERS_MS);
    return judge(leaving, acknowledgedMs);
  }

  private static Runner busiest(List<Runner> runners) {
    Runner busiest = runners.get(0);
    for (Runner runner : runners) {
      busiest = runner.runs.size() > busiest.runs.size() ? runner : busiest;
    }
    return busiest;
  }

  private void sendRequests() throws Exception {
    for (int n = 0; !ended; n++) {
      String id = String.format("r%015d", n);
      Lab.Machine machine = machines.get(n % machines.size());
      Lab.daemon(
          () -> {
            String result = Lab.send(machine, Lab.request("POST", "/send/quote", id), 2_500);
            Lab.record("request %s to %s: %s", id, machine.name, result);
            lost.addAndGet(result.equals("200") ? 0 : 1);
          });
      Thread.sleep(REQUEST_INTERVAL_MS);
    }
  }

  private int judge(Runner leaving, long acknowledgedMs) {
    int late = 0;
    long latestMs = 0;
    for (Runner.Run run : leaving.runs) {
      long afterMs = run.atMs() - acknowledgedMs;
      late += afterMs > DRAIN_TIMEOUT_MS ? 1 : 0;
      latestMs = Math.max(latestMs, afterMs);
    }
    Lab.record("%d requests reached %s over %d ms after the acknowledgement, the last after %d ms; "
            + "%d requests were not served", late, leaving.id, DRAIN_TIMEOUT_MS, latestMs,
        lost.get());
    return late > 0 ? Lab.BROKEN : Lab.HELD;
  }
}
