import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Another writer leaves entries that can't be read among the servers; then all processes are killed
 * and started again. Without trouble, there are no such entries. Judges RECOVER.
 */
final class ForeignEntries {
  private static final List<String> IPS = List.of("127.0.0.41", "127.0.0.42", "127.0.0.43");

  /** Each entry is below value_bytes, 1,048,576. */
  private static final int ENTRY_CHARS = 1_000_000;

  private static final int ENTRIES = 120;
  private static final long WRITE_INTERVAL_MS = 30;
  private static final long RESTART_DELAY_MS = 200;
  private static final long BEFORE_MS = 5_000;
  private static final long RECOVERY_MS = 12_000;
  private static final long MEASURED_MS = 10_000;
  private static final long REQUEST_INTERVAL_MS = 50;

  private record Sent(long atMs, boolean isServed) {}

  private final List<Lab.Machine> machines = new ArrayList<>();
  private final List<Sent> requests = new CopyOnWriteArrayList<>();
  private volatile boolean ended;

  private ForeignEntries() {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Lab.open(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = Lab.NOT_RUN;
    try {
      code = new ForeignEntries().run(root, Lab.newFolder(), trouble);
    } catch (Exception e) {
      Lab.record("the case could not run: %s", e);
    } finally {
      Lab.endAll();
    }
    System.exit(code);
  }

  private int run(Path root, Path folder, boolean trouble) throws Exception {
    Store store = new Store();
    store.put("config", "main", Lab.config(List.of(Lab.route("/status/", "safe"))));
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
    Lab.daemon(this::sendRequests);
    Thread.sleep(BEFORE_MS);

    for (int n = 0; trouble && n < ENTRIES; n++) {
      store.put("servers", String.format("other-%04d", n), "?".repeat(ENTRY_CHARS));
      Thread.sleep(WRITE_INTERVAL_MS);
    }
    Lab.record("entries of another writer in servers: %d", trouble ? ENTRIES : 0);
    long killedMs = Lab.nowMs();
    for (Lab.Machine machine : machines) {
      machine.signal("KILL");
      machine.process().waitFor();
    }
    Thread.sleep(RESTART_DELAY_MS);
    long backMs = Lab.nowMs();
    for (Lab.Machine machine : machines) {
      machine.writeSettings(false);
      machine.start();
    }
    Thread.sleep(RECOVERY_MS + MEASURED_MS);
    ended = true;
    for (Lab.Machine machine : machines) {
      Lab.record("%s runs: %s, ready: %s", machine.name, machine.process().isAlive(),
          machine.isReady());
      String log = Files.readString(folder.resolve(machine.name + ".log"));
      log.lines().filter(line -> line.contains("OutOfMemoryError")).distinct()
          .forEach(line -> Lab.record("%s wrote: %s", machine.name, line));
    }
    return judge(killedMs, backMs + RECOVERY_MS);
  }

  /** Sends requests to the machines in turn, as the platform hands connections on. */
  private void sendRequests() throws Exception {
    for (int n = 0; !ended; n++) {
      String id = String.format("r%015d", n);
      Lab.Machine machine = machines.get(n % machines.size());
      Lab.daemon(
          () -> {
            long sentMs = Lab.nowMs();
            String result = Lab.send(machine, Lab.request("GET", "/status/quote", id), 2_500);
            requests.add(new Sent(sentMs, result.equals("200")));
            Lab.record("request %s to %s: %s", id, machine.name, result);
          });
      Thread.sleep(REQUEST_INTERVAL_MS);
    }
  }

  private int judge(long killedMs, long recoveredMs) {
    double before = servedShare(Long.MIN_VALUE, killedMs);
    double after = servedShare(recoveredMs, Long.MAX_VALUE);
    Lab.record("served before the fault: %.2f; sent over %d ms after the return: %.2f", before,
        RECOVERY_MS, after);
    if (before < 0.25 || Double.isNaN(after)) {
      return Lab.NOT_RUN;
    }
    return after < 0.25 ? Lab.BROKEN : Lab.HELD;
  }

  private double servedShare(long fromMs, long toMs) {
    int sent = 0;
    int served = 0;
    for (Sent request : requests) {
      if (request.atMs >= fromMs && request.atMs < toMs) {
        sent++;
        served += request.isServed ? 1 : 0;
      }
    }
    return (double) served / sent;
  }
}
