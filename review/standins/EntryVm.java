package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry VM: a process with the command of the deploy file and settings from its template. */
final class EntryVm implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** The zones of the machines of the site, which has three, two and two of them. */
  static final List<String> ZONES =
      List.of(
          "gasabo-hall",
          "kicukiro-hall",
          "nyarugenge-hall",
          "gasabo-hall",
          "kicukiro-hall",
          "nyarugenge-hall",
          "gasabo-hall");

  private final String ip;
  private final int[] ports;
  private final Process process;

  /**
   * Starts the process.
   *
   * @param index number of the VM, from 1; its address is 127.0.0.(10 + index)
   * @param vms number of VMs
   * @param ports the ports of callers, readiness, control and the first for VMs, free on all VMs
   * @param store address of the platform's store
   * @param folder receives the settings and the log of the process
   */
  EntryVm(int index, int vms, int[] ports, String store, Path folder) throws IOException {
    this.ip = ipOf(index);
    this.ports = ports;
    Path settings = folder.resolve("vm-" + index + ".json");
    String template = Files.readString(Path.of("deploy/entry.json"));
    Files.writeString(settings, Template.render(template, fields(index, vms, ports, store)));
    String deployFile = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deployFile);
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("LANDINGTRACK_NODE_FILE", settings.toAbsolutePath().toString());
    File log = folder.resolve("vm-" + index + ".log").toFile();
    this.process = builder.redirectErrorStream(true).redirectOutput(log).start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Returns the loopback address of a VM. */
  static String ipOf(int index) {
    return "127.0.0." + (10 + index);
  }

  /** Returns the fields that the platform gives a process, as the site's sheet has them. */
  private static ObjectNode fields(int index, int vms, int[] ports, String store)
      throws IOException {
    ObjectNode fields =
        (ObjectNode)
            JSON.readTree(
                """
                {"role": "entry", "machineClass": "front", "serves": ["front", "control"],
                 "region": "kigali",
                 "zones": {"gasabo-hall": "kigali", "kicukiro-hall": "kigali",
                           "nyarugenge-hall": "kigali"},
                 "bootstrap": true,
                 "limits": {"cpuShare": 0.75, "cpuCores": 1, "memoryMb": 430,
                            "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
                 "heartbeatIntervalMs": 1200,
                 "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000,
                  "ackTimeoutMs": 4000, "catchUpS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 8,
                  "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250,
                  "maxStretchMs": 5000, "revokeWhenPartitioned": false, "revocationMs": 5000,
                  "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 54,
                  "recoveryS": 12, "transitMs": 120, "again_s": 20, "fencingEnforced": false,
                  "leaseDurationMs": 3000, "thawSlackMs": 300, "versionMs": 10000,
                  "versionAllMs": 14000},
                 "platform": {"form": "objects", "writes_per_s": 400, "reads_per_s": 2000,
                  "historyS": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}
                """);
    fields.put("nodeName", "front-" + index).put("ip", ipOf(index));
    fields.put("zone", ZONES.get(index - 1));
    fields
        .putObject("listenAddresses")
        .put("front", ipOf(index) + ":" + ports[0])
        .put("readiness", ipOf(index) + ":" + ports[1])
        .put("control", ipOf(index) + ":" + ports[2]);
    fields.putArray("internalPortRange").add(ports[3]).add(ports[3] + 15);
    for (int other = 1; other <= Math.min(3, vms); other++) {
      fields.withArray("seedAddresses").add(ipOf(other) + ":" + ports[2]);
    }
    ((ObjectNode) fields.get("platform")).put("address", store);
    return fields;
  }

  /** Returns the address at which the VM takes the connections of clients. */
  String callers() {
    return ip + ":" + ports[0];
  }

  boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + ip + ":" + ports[1] + "/-/readiness").toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Kills the process as SIGKILL does. */
  void kill() {
    process.destroyForcibly();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public void close() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
  }
}
