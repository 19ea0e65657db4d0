import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * All processes of a deployment are killed and started again. With trouble, the platform changes
 * each machine's settings right after each start and says so with one SIGHUP. Judges RECOVER.
 */
final class HupAtStart {
  private static final List<String> IPS = List.of("127.0.0.21", "127.0.0.22", "127.0.0.23");

  /** How long after a start the SIGHUP comes. */
  private static final long HUP_AFTER_MS = 100;

  private static final long RESTART_DELAY_MS = 1_000;
  private static final long RECOVERY_MS = 12_000;
  private static final long BEFORE_MS = 5_000;
  private static final long MEASURED_MS = 10_000;
  private static final long REQUEST_INTERVAL_MS = 50;

  /** A request of a client: when it was sent, and whether it was served. */
  private record Sent(long atMs, boolean isServed) {}

  private final List<Lab.Machine> machines = new ArrayList<>();
  private final List<Sent> requests = new CopyOnWriteArrayList<>();
  private volatile boolean hups;
  private volatile boolean ended;

  private HupAtStart() {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Lab.open(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = Lab.NOT_RUN;
    try {
      code = new HupAtStart().run(root, Lab.newFolder(), trouble);
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

    long killedMs = Lab.nowMs();
    hups = trouble;
    for (Lab.Machine machine : machines) {
      machine.signal("KILL");
      machine.process().waitFor();
    }
    Thread.sleep(RESTART_DELAY_MS);
    long backMs = Lab.nowMs();
    for (Lab.Machine machine : machines) {
      Lab.daemon(() -> keepRunning(machine));
    }
    Thread.sleep(RECOVERY_MS + MEASURED_MS);
    ended = true;
    return judge(killedMs, backMs + RECOVERY_MS);
  }

  /** Starts a process, and again a short time after each end of its own. */
  private void keepRunning(Lab.Machine machine) throws Exception {
    while (!ended) {
      machine.writeSettings(true);
      machine.start();
      if (hups) {
        Thread.sleep(HUP_AFTER_MS);
        machine.writeSettings(false);
        machine.signal("HUP");
      }
      int code = machine.process().waitFor();
      if (!ended) {
        Lab.record("%s ended by itself with code %d", machine.name, code);
        Thread.sleep(RESTART_DELAY_MS);
      }
    }
  }

  /** Sends requests to the machines in turn, as the platform hands connections on. */
  private void sendRequests() throws Exception {
    for (int n = 0; !ended; n++) {
      String id = String.format("r%015d", n);
      Lab.Machine machine = machines.get(n % machines.size());
      Lab.daemon(() -> send(machine, id));
      Thread.sleep(REQUEST_INTERVAL_MS);
    }
  }

  private void send(Lab.Machine machine, String id) {
    long sentMs = Lab.nowMs();
    String result = Lab.send(machine, Lab.request("GET", "/status/quote", id), 2_500);
    requests.add(new Sent(sentMs, result.equals("200")));
    Lab.record("request %s to %s: %s", id, machine.name, result);
  }

  private int judge(long killedMs, long recoveredMs) {
    double before = servedShare(Long.MIN_VALUE, killedMs - 500);
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
