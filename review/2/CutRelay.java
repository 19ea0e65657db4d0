package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * One of seven VMs loses its link to a server, and reaches it by way of the other VM of its zone.
 * That VM's process is killed while answers without a length pass through it.
 */
final class CutRelay {
  private static final String SERVICE = "quote-portal";
  private static final String KEY = "nu6wsjnbanfqasnmgkcu";
  private static final int REQUESTS = 6;
  private static final long DEADLINE_MS = 2_500;

  /** Both VMs of one zone, by their number from 0. */
  private static final int CUT_OFF = 1;

  private static final int KILLED = 4;

  /** The other VMs know each other by then. */
  private static final long WARM_UP_MS = 3_000;

  private static final long AFTER_CUT_MS = 1_500;
  private static final ObjectMapper JSON = new ObjectMapper();

  private CutRelay() {}

  public static void main(String[] args) {
    Deployment.main(() -> run(Path.of(args[0])));
  }

  private static int run(Path folder) throws Exception {
    try (Record record = new Record(folder.resolve("record.txt"));
        Store store = new Store();
        Runner runner = new Runner(record, "i-7f3a91c2", SERVICE);
        Link link = new Link(runner.address());
        Deployment deployment = new Deployment()) {
      store.put("servers/i-7f3a91c2", runner.entry());
      store.put("config/main", config());
      String cutOff = store.open(address -> link.address());
      String direct = store.open(address -> address);
      List<String> stores = new ArrayList<>(Collections.nCopies(EntryVm.ZONES.size(), direct));
      stores.set(CUT_OFF, cutOff);
      List<EntryVm> vms = deployment.startVms(stores);
      Thread.sleep(WARM_UP_MS);
      Caller caller = new Caller(record);
      if (send(caller, vms.get(CUT_OFF)).status() != 200) {
        record.line("the deployment does not serve as it should before the disruption");
        return Deployment.NOT_RUN;
      }
      if (Deployment.isTroubled()) {
        link.cut();
        record.line("the link of " + vms.get(CUT_OFF).callers() + " to the server is cut");
      }
      Thread.sleep(AFTER_CUT_MS);
      return sendAndCheck(record, vms, caller);
    }
  }

  private static int sendAndCheck(Record record, List<EntryVm> vms, Caller caller)
      throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(REQUESTS);
    List<Future<Caller.Exchange>> sent = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      sent.add(threads.submit(() -> send(caller, vms.get(CUT_OFF))));
    }
    Thread.sleep(Runner.PAUSE_MS / 2);
    if (Deployment.isTroubled()) {
      vms.get(KILLED).kill();
      record.line("the process of " + vms.get(KILLED).callers() + " is killed");
    }
    int broken = 0;
    for (Future<Caller.Exchange> each : sent) {
      Caller.Exchange exchange = each.get();
      boolean isSuccess = exchange.status() / 100 == 2;
      boolean isWhole =
          isSuccess && Arrays.equals(exchange.answer().body(), Runner.bodyOf(exchange.id()));
      if (isSuccess && !isWhole) {
        broken++;
        record.line("client: " + exchange.id() + " got a success with a part of the server's body");
      }
    }
    threads.shutdownNow();
    record.line(
        "MIXED: " + broken + " of " + REQUESTS + " requests got a success with a part of the body");
    return broken > 0 ? Deployment.BROKEN : Deployment.HELD;
  }

  private static Caller.Exchange send(Caller caller, EntryVm vm) {
    return caller.send(vm.callers(), "GET", "/" + Runner.UNFRAMED + "/1", KEY, DEADLINE_MS);
  }

  private static ObjectNode config() {
    ObjectNode config = JSON.createObjectNode().put("version", 1);
    config
        .putArray("routes")
        .addObject()
        .put("name", "r-send")
        .put("host", Caller.HOST)
        .put("pathPrefix", "/" + Runner.UNFRAMED + "/")
        .put("kind", "safe")
        .put("timeoutMs", 2_500)
        .put("targetLatencyMs", 150)
        .put("priority", 2)
        .put("service", SERVICE)
        .put("maxAttempts", 1)
        .put("public", false);
    ObjectNode service = config.putArray("services").addObject();
    service.put("name", SERVICE).put("healthCheckPath", "/health").put("connectionLimit", 100);
    config.putArray("tenants").addObject().put("name", "jeye930").putArray("apiKeys").add(KEY);
    config
        .putObject("limits")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 4_194_304)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    return config;
  }
}
