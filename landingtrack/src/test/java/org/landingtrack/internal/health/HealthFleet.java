/*
 * Copyright (C) 2026 The landingtrack authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 * http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.landingtrack.internal.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.health.SharedHealth.ServiceStarts;
import org.landingtrack.internal.loads.TalliedVm;
import org.landingtrack.internal.loads.TallyTopic;
import org.landingtrack.internal.serving.EventLoop;
import org.landingtrack.internal.serving.ManualLoop;

/**
 * Simulated fleet: entry VMs with callers, and the servers of one service, on one clock. The VMs
 * exchange tallies with delay and loss as over the network. Each request goes to a server drawn by
 * weight. Results depend only on the seed.
 */
final class HealthFleet {
  static final long TARGET_MS = 300;
  private static final long SERVICE = Hashes.placement("service");
  private static final long WORK_MS = 40;
  private static final long ONE_WAY_MS = 1;
  private static final long CALLER_MS = 1_200;
  private static final long WARM_UP_MS = 10_000;

  final ManualLoop loop = new ManualLoop();
  final List<Entry> vms = new ArrayList<>();
  final List<Server> servers = new ArrayList<>();
  private final Random random;
  private final double perSecond;

  /** The way in which a server fails requests. */
  enum Fault {
    ANSWERS_500,
    HANGS
  }

  /** A server with its fault. */
  static final class Server {
    final long start;
    final double weight;
    double failing;
    Fault fault = Fault.ANSWERS_500;
    int slowness = 1;

    /** Requests that failed visibly: an error answer arrived, or the target was missed. */
    int failures;

    int probes;

    Server(long start, double weight) {
      this.start = start;
      this.weight = weight;
    }
  }

  /** An entry VM. */
  final class Entry implements SharedHealth.Listener {
    final TalliedVm vm;
    final double share;
    final Map<Long, Integer> ejections = new HashMap<>();
    SharedHealth health;

    /** Servers whose answers do not reach this VM. */
    Predicate<Server> unreachable = server -> false;

    Entry(int number, double share) {
      this.vm = new TalliedVm(loop, number);
      this.share = share;
      this.health = start();
    }

    private SharedHealth start() {
      return new SharedHealth(
          loop,
          vm.peers(),
          own -> vm.tally(TallyTopic.SERVERS, own),
          () -> List.of(new ServiceStarts(SERVICE, servers.stream().map(s -> s.start).toList())),
          this);
    }

    /** Restarts the VM, which loses its state. */
    void restart() {
      vm.restart(vms.stream().map(each -> each.vm).toList());
      health = start();
    }

    @Override
    public void ejected(long server, String reason) {
      ejections.merge(server, 1, Integer::sum);
    }

    @Override
    public void released(long server, String reason) {}
  }

  /**
   * Creates a fleet and runs it for the warm-up time.
   *
   * @param perSecond requests a second of the whole fleet
   * @param skew servers and VMs get weights from 1 to this number
   */
  HealthFleet(int vmCount, int serverCount, double perSecond, double skew, long seed) {
    this.random = new Random(seed);
    this.perSecond = perSecond;
    for (int i = 0; i < serverCount; i++) {
      double weight = 1 + (skew - 1) * random.nextDouble();
      servers.add(new Server(Hashes.placement("server-" + seed + "-" + i), weight));
    }
    for (int i = 0; i < vmCount; i++) {
      vms.add(new Entry(i, 1 + (skew - 1) * random.nextDouble()));
    }
    List<TalliedVm> all = vms.stream().map(each -> each.vm).toList();
    all.forEach(vm -> vm.introduce(all));
    TalliedVm.exchangeNews(loop, all, random);
    callLater();
    loop.advance(WARM_UP_MS);
  }

  /** Returns the number of VMs at which a server is ejected. */
  int ejectedAt(Server server) {
    int count = 0;
    for (Entry vm : vms) {
      count += vm.health.isEjected(server.start) ? 1 : 0;
    }
    return count;
  }

  /** Returns how often VMs ejected a server, in total. */
  int ejections(Server server) {
    int count = 0;
    for (Entry vm : vms) {
      count += vm.ejections.getOrDefault(server.start, 0);
    }
    return count;
  }

  /**
   * Runs until all VMs have a server ejected, or none has.
   *
   * @return the time that it took, in ms, or -1 if it took more than {@code maxMs}
   */
  long playUntil(Server server, boolean ejected, long maxMs) {
    for (long ms = 0; ms <= maxMs; ms += 10) {
      if (ejectedAt(server) == (ejected ? vms.size() : 0)) {
        return ms;
      }
      loop.advance(10);
    }
    return -1;
  }

  private void callLater() {
    double waitMs = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    loop.schedule(
        Math.round(waitMs),
        () -> {
          Entry vm = drawVm();
          loop.schedule(vm.vm.stillMs(), () -> call(vm));
          callLater();
        });
  }

  private Entry drawVm() {
    double remaining = random.nextDouble() * vms.stream().mapToDouble(vm -> vm.share).sum();
    for (Entry vm : vms) {
      remaining -= vm.share;
      if (remaining < 0) {
        return vm;
      }
    }
    return vms.get(vms.size() - 1);
  }

  private void call(Entry vm) {
    for (Server server : servers) {
      if (vm.health.isEjected(server.start) && vm.health.mayProbe(server.start)) {
        server.probes++;
        vm.health.probes(server.start);
        send(vm, server, TARGET_MS / 2);
        return;
      }
    }
    send(vm, drawServer(vm), CALLER_MS);
  }

  private Server drawServer(Entry vm) {
    List<Server> usable = new ArrayList<>(servers);
    usable.removeIf(server -> vm.health.isEjected(server.start));
    double remaining = random.nextDouble() * usable.stream().mapToDouble(s -> s.weight).sum();
    for (Server server : usable) {
      remaining -= server.weight;
      if (remaining < 0) {
        return server;
      }
    }
    return usable.get(usable.size() - 1);
  }

  private void send(Entry vm, Server server, long timeoutMs) {
    Object attempt = new Object();
    SharedHealth health = vm.health;
    health.sent(attempt, new Work(SERVICE, server.start, "kind", 1, TARGET_MS));
    EventLoop.Timer timeout = loop.schedule(timeoutMs, () -> health.over(attempt));
    boolean isUnreachable = vm.unreachable.test(server);
    boolean fails = isUnreachable || random.nextDouble() < server.failing;
    if (server.slowness > 1 || (fails && server.fault == Fault.HANGS)) {
      loop.schedule(TARGET_MS, () -> server.failures++);
    }
    if (fails && (isUnreachable || server.fault == Fault.HANGS)) {
      return;
    }
    long workMs = fails ? 0 : Math.round(server.slowness * WORK_MS * (0.7 + random.nextDouble()));
    end(vm, health, attempt, server, fails, timeout, workMs + 2 * ONE_WAY_MS);
  }

  private void end(
      Entry vm,
      SharedHealth health,
      Object attempt,
      Server server,
      boolean fails,
      EventLoop.Timer timeout,
      long delayMs) {
    loop.schedule(
        delayMs,
        () -> {
          if (vm.vm.stillMs() > 0) {
            end(vm, health, attempt, server, fails, timeout, vm.vm.stillMs());
            return;
          }
          timeout.cancel();
          if (fails) {
            server.failures++;
            health.failed(attempt);
          } else {
            health.answered(attempt, server.start);
          }
          health.over(attempt);
        });
  }
}
