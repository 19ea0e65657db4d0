package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** The processes and stand-ins of a case, and what all cases do. */
final class Deployment implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private final Path folder;
  private final List<EntryVm> vms = new ArrayList<>();

  Deployment() throws IOException {
    this.folder = Files.createTempDirectory("review");
  }

  /** Runs a case, and ends the program with its result. */
  static void main(Callable<Integer> body) {
    int result = NOT_RUN;
    try {
      result = body.call();
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(result);
  }

  /** Returns true unless the case is to run without its disruption. */
  static boolean isTroubled() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Starts one VM for each address of the store, and waits until all are ready. */
  List<EntryVm> startVms(List<String> stores) throws IOException, InterruptedException {
    int[] ports = {freePort(), freePort(), freePort(), freePort()};
    for (int i = 1; i <= stores.size(); i++) {
      vms.add(new EntryVm(i, stores.size(), ports, stores.get(i - 1), folder));
    }
    long endNanos = System.nanoTime() + 20_000_000_000L;
    while (!vms.stream().allMatch(EntryVm::isReady)) {
      if (System.nanoTime() > endNanos) {
        throw new IOException("the VMs are not ready within 20 s; logs in " + folder);
      }
      Thread.sleep(100);
    }
    return vms;
  }

  /** Returns a port that was free on the loopback address of each VM. */
  private static int freePort() throws IOException {
    while (true) {
      try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName(EntryVm.ipOf(1)))) {
        int port = first.getLocalPort();
        if (isFreeOnOthers(port)) {
          return port;
        }
      }
    }
  }

  private static boolean isFreeOnOthers(int port) {
    for (int index = 2; index <= EntryVm.ZONES.size(); index++) {
      try (ServerSocket other =
          new ServerSocket(port, 1, InetAddress.getByName(EntryVm.ipOf(index)))) {
        continue;
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void close() throws InterruptedException, IOException {
    for (EntryVm vm : vms) {
      vm.close();
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }
}
