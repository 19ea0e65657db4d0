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
import org.landingtrack.internal.health.SharedHealth.ServiceIncarnations;
import org.landingtrack.internal.loads.SimulatedVm;
import org.landingtrack.internal.loads.TallyTopic;
import org.landingtrack.internal.serving.EventLoop;
import org.landingtrack.internal.serving.ManualEventLoop;

/**
 * Simulated fleet: entry VMs with callers, and the servers of one service, on one clock. The VMs
 * exchange tallies with delay and loss as over the network. Each request goes to a server drawn by
 * weight. Results depend only on the seed.
 */
final class HealthFleet {
  static final long TARGET_MS = 300;
  private static final long SERVICE = Hashes.placement("service");
  private static final long SERVICE_TIME_MS = 40;
  private static final long ONE_WAY_MS = 1;
  private static final long CALLER_TIMEOUT_MS = 1_200;
  private static final long WARM_UP_MS = 10_000;

  final ManualEventLoop loop = new ManualEventLoop();
  final List<EntryVm> vms = new ArrayList<>();
  final List<Server> servers = new ArrayList<>();
  private final Random random;
  private final double requestsPerSecond;

  /** The way in which a server fails requests. */
  enum Fault {
    ANSWERS_500,
    HANGS
  }

  /** A server with its fault. */
  static final class Server {
    final long incarnation;
    final double weight;
    double failureRate;
    Fault fault = Fault.ANSWERS_500;
    int slowdown = 1;

    /** Requests that failed visibly: an error answer arrived, or the target was missed. */
    int failures;

    int probes;

    Server(long start, double weight) {
      this.incarnation = start;
      this.weight = weight;
    }
  }

  /** An entry VM. */
  final class EntryVm implements SharedHealth.Listener {
    final SimulatedVm vm;
    final double share;
    final Map<Long, Integer> ejections = new HashMap<>();
    SharedHealth health;

    /** Servers whose answers do not reach this VM. */
    Predicate<Server> unreachable = server -> false;

    EntryVm(int number, double share) {
      this.vm = new SimulatedVm(loop, number);
      this.share = share;
      this.health = createHealth();
    }

    private SharedHealth createHealth() {
      return new SharedHealth(
          loop,
          vm.peers(),
          own -> vm.addTallies(TallyTopic.SERVERS, own),
          () ->
              List.of(
                  new ServiceIncarnations(
                      SERVICE, servers.stream().map(s -> s.incarnation).toList())),
          this);
    }

    /** Restarts the VM, which loses its state. */
    void restart() {
      vm.restart(vms.stream().map(each -> each.vm).toList());
      health = createHealth();
    }

    @Override
    public void ejected(long server, String reason) {
      ejections.merge(server, 1, Integer::sum);
    }

    @Override
    public void reinstated(long server, String reason) {}
  }

  /**
   * Creates a fleet and runs it for the warm-up time.
   *
   * @param perSecond requests a second of the whole fleet
   * @param skew servers and VMs get weights from 1 to this number
   */
  HealthFleet(int vmCount, int serverCount, double perSecond, double skew, long seed) {
    this.random = new Random(seed);
    this.requestsPerSecond = perSecond;
    for (int i = 0; i < serverCount; i++) {
      double weight = 1 + (skew - 1) * random.nextDouble();
      servers.add(new Server(Hashes.placement("server-" + seed + "-" + i), weight));
    }
    for (int i = 0; i < vmCount; i++) {
      vms.add(new EntryVm(i, 1 + (skew - 1) * random.nextDouble()));
    }
    List<SimulatedVm> all = vms.stream().map(each -> each.vm).toList();
    all.forEach(vm -> vm.addCandidates(all));
    SimulatedVm.exchangeMessages(loop, all, random);
    scheduleCall();
    loop.advance(WARM_UP_MS);
  }

  /** Returns the number of VMs at which a server is ejected. */
  int countEjectingVms(Server server) {
    int count = 0;
    for (EntryVm vm : vms) {
      count += vm.health.isEjected(server.incarnation) ? 1 : 0;
    }
    return count;
  }

  /** Returns how often VMs ejected a server, in total. */
  int countEjections(Server server) {
    int count = 0;
    for (EntryVm vm : vms) {
      count += vm.ejections.getOrDefault(server.incarnation, 0);
    }
    return count;
  }

  /**
   * Runs until all VMs have a server ejected, or none has.
   *
   * @return the time that it took, in ms, or -1 if it took more than {@code maxMs}
   */
  long runUntil(Server server, boolean ejected, long maxMs) {
    for (long ms = 0; ms <= maxMs; ms += 10) {
      if (countEjectingVms(server) == (ejected ? vms.size() : 0)) {
        return ms;
      }
      loop.advance(10);
    }
    return -1;
  }

  private void scheduleCall() {
    double waitMs = -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
    loop.schedule(
        Math.round(waitMs),
        () -> {
          EntryVm vm = drawVm();
          loop.schedule(vm.vm.suspensionMs(), () -> call(vm));
          scheduleCall();
        });
  }

  private EntryVm drawVm() {
    double remaining = random.nextDouble() * vms.stream().mapToDouble(vm -> vm.share).sum();
    for (EntryVm vm : vms) {
      remaining -= vm.share;
      if (remaining < 0) {
        return vm;
      }
    }
    return vms.get(vms.size() - 1);
  }

  private void call(EntryVm vm) {
    for (Server server : servers) {
      if (vm.health.isEjected(server.incarnation) && vm.health.mayProbe(server.incarnation)) {
        server.probes++;
        vm.health.onProbe(server.incarnation);
        send(vm, server, TARGET_MS / 2);
        return;
      }
    }
    send(vm, drawServer(vm), CALLER_TIMEOUT_MS);
  }

  private Server drawServer(EntryVm vm) {
    List<Server> usable = new ArrayList<>(servers);
    usable.removeIf(server -> vm.health.isEjected(server.incarnation));
    double remaining = random.nextDouble() * usable.stream().mapToDouble(s -> s.weight).sum();
    for (Server server : usable) {
      remaining -= server.weight;
      if (remaining < 0) {
        return server;
      }
    }
    return usable.get(usable.size() - 1);
  }

  private void send(EntryVm vm, Server server, long timeoutMs) {
    Object attempt = new Object();
    SharedHealth health = vm.health;
    health.onSend(attempt, new ExpectedWork(SERVICE, server.incarnation, "kind", 1, TARGET_MS));
    EventLoop.Timer timeout = loop.schedule(timeoutMs, () -> health.onClosed(attempt));
    boolean isUnreachable = vm.unreachable.test(server);
    boolean fails = isUnreachable || random.nextDouble() < server.failureRate;
    if (server.slowdown > 1 || (fails && server.fault == Fault.HANGS)) {
      loop.schedule(TARGET_MS, () -> server.failures++);
    }
    if (fails && (isUnreachable || server.fault == Fault.HANGS)) {
      return;
    }
    long workMs =
        fails ? 0 : Math.round(server.slowdown * SERVICE_TIME_MS * (0.7 + random.nextDouble()));
    scheduleAnswer(vm, health, attempt, server, fails, timeout, workMs + 2 * ONE_WAY_MS);
  }

  private void scheduleAnswer(
      EntryVm vm,
      SharedHealth health,
      Object attempt,
      Server server,
      boolean fails,
      EventLoop.Timer timeout,
      long delayMs) {
    loop.schedule(
        delayMs,
        () -> {
          if (vm.vm.suspensionMs() > 0) {
            scheduleAnswer(vm, health, attempt, server, fails, timeout, vm.vm.suspensionMs());
            return;
          }
          timeout.cancel();
          if (fails) {
            server.failures++;
            health.onFailure(attempt);
          } else {
            health.onAnswer(attempt, server.incarnation);
          }
          health.onClosed(attempt);
        });
  }
}
