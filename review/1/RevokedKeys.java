package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The operator takes away the keys of the only tenant, one after the other. Requests with these
 * keys, and with a key that no configuration ever held, must not be run.
 */
final class RevokedKeys {
  private static final String SERVICE = "quote-portal";
  private static final String NEVER_HELD = "zz0neverheldkey000000";
  private static final List<String> KEYS = List.of("nu6wsjnbanfqasnmgkcu", "ba7kdmqpwoeirutylaks");
  private static final long APPLY_MS = 2_000;
  private static final long GAP_MS = 1_500;
  private static final int ROUNDS = 3;
  private static final long ROUND_GAP_MS = 200;
  private static final ObjectMapper JSON = new ObjectMapper();

  private RevokedKeys() {}

  public static void main(String[] args) {
    Deployment.main(() -> run(Path.of(args[0])));
  }

  private static int run(Path folder) throws Exception {
    try (Record record = new Record(folder.resolve("record.txt"));
        Store store = new Store();
        Runner runner = new Runner(record, "i-7f3a91c2", SERVICE);
        Deployment deployment = new Deployment()) {
      store.put("servers/i-7f3a91c2", runner.entry());
      store.put("config/main", config(1, KEYS));
      String address = store.open(each -> each);
      List<EntryVm> vms = deployment.startVms(Collections.nCopies(EntryVm.ZONES.size(), address));
      Caller caller = new Caller(record);
      for (EntryVm vm : vms) {
        int known = caller.send(vm.callers(), "POST", "/status/1", KEYS.get(0), 2_500).status();
        int unknown = caller.send(vm.callers(), "POST", "/status/1", NEVER_HELD, 2_500).status();
        if (known != 200 || unknown != 401) {
          record.line("the deployment does not serve as it should before the disruption");
          return Deployment.NOT_RUN;
        }
      }
      return revokeAndCheck(record, store, runner, vms, caller);
    }
  }

  private static int revokeAndCheck(
      Record record, Store store, Runner runner, List<EntryVm> vms, Caller caller)
      throws InterruptedException {
    List<String> held = new ArrayList<>(KEYS);
    for (int i = 0; i < KEYS.size(); i++) {
      if (Deployment.isTroubled()) {
        record.line("operator: key " + held.remove(0) + " is taken away");
      }
      store.put("config/main", config(2 + i, held));
      record.line("operator: version " + (2 + i) + " is acknowledged, keys " + held);
      Thread.sleep(GAP_MS);
    }
    Thread.sleep(APPLY_MS);
    Set<String> neverHeld = new HashSet<>();
    Set<String> revoked = new HashSet<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (EntryVm vm : vms) {
        neverHeld.add(caller.send(vm.callers(), "POST", "/status/2", NEVER_HELD, 2_500).id());
        for (String key : KEYS) {
          String id = caller.send(vm.callers(), "POST", "/status/2", key, 2_500).id();
          if (!held.contains(key)) {
            revoked.add(id);
          }
        }
      }
      Thread.sleep(ROUND_GAP_MS);
    }
    long ranNeverHeld = countRuns(runner, neverHeld);
    long ranRevoked = countRuns(runner, revoked);
    record.line(
        "ROUTE: " + ranNeverHeld + " of " + neverHeld.size() + " requests were run whose key was"
            + " never held by any configuration");
    record.line(
        "CONFIG: " + ranRevoked + " of " + revoked.size() + " requests were run whose key had been"
            + " taken away more than " + APPLY_MS + " ms before");
    return ranNeverHeld + ranRevoked > 0 ? Deployment.BROKEN : Deployment.HELD;
  }

  private static long countRuns(Runner runner, Set<String> ids) {
    return runner.runs().stream().filter(run -> ids.contains(run.requestId())).count();
  }

  /** Returns a configuration with one tenant and these keys. */
  private static ObjectNode config(int version, List<String> keys) {
    ObjectNode config = JSON.createObjectNode().put("version", version);
    config
        .putArray("routes")
        .addObject()
        .put("name", "r-status")
        .put("host", Caller.HOST)
        .put("pathPrefix", "/status/")
        .put("kind", "unsafe")
        .put("timeoutMs", 1_200)
        .put("targetLatencyMs", 150)
        .put("priority", 2)
        .put("service", SERVICE)
        .put("maxAttempts", 1)
        .put("public", false);
    ObjectNode service = config.putArray("services").addObject();
    service.put("name", SERVICE).put("healthCheckPath", "/health").put("connectionLimit", 100);
    ObjectNode tenant = config.putArray("tenants").addObject().put("name", "jeye930");
    ArrayNode list = tenant.putArray("apiKeys");
    keys.forEach(list::add);
    config
        .putObject("limits")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 4_194_304)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    return config;
  }
}
