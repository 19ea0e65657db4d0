import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts entry processes with the run line and the settings template of the deploy file, on
 * loopback addresses, and ends them. Writes the record of a case.
 */
final class Lab {
  /** Exit codes of a case. */
  static final int HELD = 0;

  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  static final String HOST = "portal.example";

  private static PrintWriter record;
  private static Path folder;
  private static volatile boolean isEnding;
  private static final List<Process> processes = new ArrayList<>();

  interface Task {
    void run() throws Exception;
  }

  private Lab() {}

  static void daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                record("stand-in: %s", e);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  static synchronized void open(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static synchronized void record(String format, Object... values) {
    if (record != null) {
      record.println(Instant.now() + " " + String.format(format, values));
    }
  }

  /** The ports of a deployment; they are the same on all machines. */
  record Ports(int front, int readiness, int control, int peers) {
    /** Returns ports that are free on all addresses of a list. */
    static Ports free(List<String> ips) throws IOException {
      return new Ports(freePort(ips), freePort(ips), freePort(ips), freePort(ips));
    }
  }

  private static int freePort(List<String> ips) throws IOException {
    for (int attempt = 0; attempt < 50; attempt++) {
      int port;
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ips.get(0)))) {
        port = socket.getLocalPort();
      }
      if (ips.stream().allMatch(ip -> isFree(ip, port))) {
        return port;
      }
    }
    throw new IOException("no port is free on all of " + ips);
  }

  private static boolean isFree(String ip, int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip));
        DatagramSocket datagrams = new DatagramSocket(port, InetAddress.getByName(ip))) {
      return socket.isBound() && datagrams.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  private static List<String> runWords(Path root) throws IOException {
    Matcher line =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!line.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    return List.of(line.group(1).split(" "));
  }

  /** A machine with one entry process, which can be started again. */
  static final class Machine {
    final String name;
    final String ip;
    final Ports ports;
    private final Path root;
    private final Path folder;
    private final String storeAddress;
    private final List<String> seeds;
    private Process process;

    Machine(
        Path root,
        Path folder,
        String name,
        String ip,
        Ports ports,
        List<String> seedIps,
        String storeAddress) {
      this.root = root;
      this.folder = folder;
      this.name = name;
      this.ip = ip;
      this.ports = ports;
      this.storeAddress = storeAddress;
      this.seeds = seedIps.stream().map(each -> each + ":" + ports.control()).toList();
    }

    /** Fills the settings template of the deploy file as the platform does. */
    void writeSettings(boolean bootstrap) throws IOException {
      Map<String, Object> fields =
          Json.map(
              "nodeName", name, "role", "entry", "zone", "hall", "region", "kigali",
              "zones", Json.map("hall", "kigali"), "ip", ip,
              "listenAddresses",
              Json.map("front", ip + ":" + ports.front(), "readiness",
                  ip + ":" + ports.readiness(), "control", ip + ":" + ports.control()),
              "internalPortRange", List.of(ports.peers(), ports.peers()),
              "seedAddresses", seeds, "bootstrap", bootstrap,
              "limits",
              Json.map("cpuShare", 0.75, "cpuCores", 1, "memoryMb", 430, "fileDescriptors", 4100,
                  "linkMbps", 1000.0),
              "bounds",
              Json.map("contactMs", 3000, "configApplyMs", 2000, "gracePeriodS", 8,
                  "drainTimeoutMs", 2000, "retryBudgetRatio", 0.2, "retryBudgetExtra", 54,
                  "budgetWindowS", 10, "leaseDurationMs", 3000, "fencingEnforced", false,
                  "versionMs", 10000),
              "platform",
              Json.map("address", storeAddress, "reads_per_s", 2000, "writes_per_s", 400));
      String template = Files.readString(root.resolve("deploy/entry.json"));
      Path next = folder.resolve(name + ".next");
      Files.writeString(next, Template.fill(template, fields));
      Files.move(next, settings(), StandardCopyOption.REPLACE_EXISTING);
    }

    private Path settings() {
      return folder.resolve(name + ".json");
    }

    /** Starts the process with the settings of this moment. */
    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(runWords(root)).directory(root.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("LANDINGTRACK_NODE_FILE", settings().toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      synchronized (processes) {
        if (isEnding) {
          throw new IOException("the case ends");
        }
        process = builder.start();
        processes.add(process);
      }
      record("platform starts %s", name);
    }

    Process process() {
      return process;
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws Exception {
      record("platform sends SIG%s to %s", signal, name);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void awaitReady() throws Exception {
      for (int i = 0; i < 300; i++) {
        if (!process.isAlive()) {
          throw new IOException(name + " ended before it was ready");
        }
        if (isReady()) {
          record("%s is ready", name);
          return;
        }
        Thread.sleep(100);
      }
      throw new IOException(name + " did not become ready");
    }

    /** Asks for the readiness as the platform does. */
    boolean isReady() {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(ip, ports.readiness()), 500);
        socket.setSoTimeout(500);
        String question = "GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n";
        socket.getOutputStream().write(question.getBytes(StandardCharsets.US_ASCII));
        return new Http(socket.getInputStream()).read().status() == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  /** Returns a new temporary folder, which {@link #endAll} removes. */
  static Path newFolder() throws IOException {
    folder = Files.createTempDirectory("review");
    return folder;
  }

  /** Ends all processes that were started, and removes the temporary folder. */
  static void endAll() throws Exception {
    isEnding = true;
    synchronized (processes) {
      for (Process process : processes) {
        process.destroyForcibly().waitFor();
      }
    }
    if (folder != null) {
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.deleteIfExists(file);
        }
      }
      Files.deleteIfExists(folder);
    }
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Sends one request on a connection of its own; returns its status, or what failed. */
  static String send(Machine machine, String head, int timeoutMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(machine.ip, machine.ports.front()), 1_000);
      socket.setSoTimeout(timeoutMs);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      return String.valueOf(new Http(socket.getInputStream()).read().status());
    } catch (IOException e) {
      return e.toString();
    }
  }

  /** Returns a route of the one service. */
  static Map<String, Object> route(String prefix, String kind) {
    return Json.map(
        "name", "r" + prefix.replace('/', '-'), "host", HOST, "pathPrefix", prefix, "kind", kind,
        "timeoutMs", 1200, "targetLatencyMs", 150, "priority", 2, "service", "portal",
        "maxAttempts", kind.equals("safe") ? 2 : 1, "public", false, "stickySessions", false,
        "resumable", false);
  }

  /** Returns the bytes of a request without a body. */
  static String request(String method, String path, String id) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Landingtrack-Request-Id: "
        + id + "\r\nX-Landingtrack-Deadline-Ms: 2500\r\nApi-Key: key-of-shop\r\n"
        + (method.equals("GET") ? "" : "Content-Length: 0\r\n") + "Connection: close\r\n\r\n";
  }

  /** The limits of the deployment, with one route for each of the given lines. */
  static Map<String, Object> config(List<Object> routes) {
    return Json.map(
        "version", 1, "routes", routes,
        "services",
        List.of(
            Json.map("name", "portal", "healthCheckPath", "/health", "connectionLimit", 100,
                "protocol", "h1", "tls", false)),
        "limits",
        Json.map("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000,
            "idleTimeoutMs", 15000),
        "tenants",
        List.of(Json.map("name", "shop", "apiKeys", List.of("key-of-shop"), "priority", 1)));
  }
}
