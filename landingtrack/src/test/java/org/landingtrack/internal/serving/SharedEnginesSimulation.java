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
package org.landingtrack.internal.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.landingtrack.internal.loads.FleetTallies;
import org.landingtrack.internal.loads.GossipMessage;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.loads.VmMessages;

/**
 * Simulates several VMs in front of two engines with memory for 16 requests each, on one clock.
 * Callers send requests to random VMs and retry once after a refusal. Deterministic for a seed.
 */
final class SharedEnginesSimulation {
  static final long TARGET_MS = 300;

  private static final long CALLER_DEADLINE_MS = 1_200;
  private static final long ONE_WAY_MS = 1;
  private static final long FIRST_EVENT_MS = 20;
  private static final long WORK_MS = 200;
  private static final int ENGINE_CONCURRENCY = 16;

  /** Requests per second of both engines with the share of their memory that requests get. */
  private static final double CAPACITY_PER_SECOND = 2 * ENGINE_CONCURRENCY * 0.75 * 1_000 / WORK_MS;

  private static final long WARM_UP_MS = 6_000;

  final ManualEventLoop loop = new ManualEventLoop();
  final List<Call> calls = new ArrayList<>();

  /** Share of the load reports between VMs that is lost. */
  double updateLossShare = 0.02;

  private final Random random;
  private final List<Vm> vms = new ArrayList<>();
  private final Map<String, Engine> engines = new HashMap<>();
  private long ids;

  /** A caller's request with its attempts. */
  final class Call {
    final long firstMs = loop.millis();
    long attemptedMs = firstMs;
    boolean isRefused;
    boolean hasRetried;
    RecordingSink sink = new RecordingSink();
    private long startedMs = Long.MAX_VALUE;
    private Vm vm = vms.get(0);

    boolean isServed() {
      return sink.log.toString().endsWith("end");
    }

    /** Returns true if the answer began within the target latency after the latest attempt. */
    boolean isInTime() {
      return isServed() && startedMs - attemptedMs <= TARGET_MS;
    }

    boolean isAdmitted() {
      return !sink.log.toString().startsWith("refused") || refusedAfterMs() > TARGET_MS / 4;
    }

    /** Returns the time in milliseconds from the latest attempt until the caller was refused. */
    long refusedAfterMs() {
      return sink.refusedAtMs - attemptedMs;
    }
  }

  /**
   * An engine that runs {@link SharedEnginesSimulation#ENGINE_CONCURRENCY} requests at once and
   * queues others in order.
   */
  private static final class Engine {
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int running;

    void arrive(Runnable begin) {
      waiting.add(begin);
      beginNext();
    }

    void ended() {
      running--;
      beginNext();
    }

    private void beginNext() {
      while (running < ENGINE_CONCURRENCY && !waiting.isEmpty()) {
        running++;
        waiting.remove().run();
      }
    }
  }

  private final class Vm {
    private final ServingFixture world;
    private final VmMessages news;
    private int deliveredSends;
    private boolean isIsolated;

    Vm(int number, Set<Mechanism> disabled) {
      String address = "10.0.1." + (number + 1) + ":70";
      world = new ServingFixture(loop, new NoOpDecisionLog(), address, random.nextLong(), disabled);
      news = new VmMessages(world.peerLoads);
    }

    /** Delivers what the VM has sent since the last call. */
    void deliver() {
      List<FakeTransport.Sent> sends = world.transport.sends;
      while (deliveredSends < sends.size()) {
        FakeTransport.Sent sent = sends.get(deliveredSends++);
        Engine engine = engines.get(sent.call.serverId());
        loop.schedule(ONE_WAY_MS, () -> engine.arrive(() -> begin(engine, sent)));
      }
    }

    private void begin(Engine engine, FakeTransport.Sent sent) {
      loop.schedule(FIRST_EVENT_MS, () -> report(sent, sent::startStream));
      loop.schedule(
          WORK_MS,
          () -> {
            engine.ended();
            report(sent, () -> sent.listener.completed(new byte[0]));
          });
    }

    private void report(FakeTransport.Sent sent, Runnable step) {
      if (!sent.cancelled) {
        step.run();
        deliver();
      }
    }
  }

  SharedEnginesSimulation(int vmCount, Set<Mechanism> disabled, long seed) {
    this.random = new Random(seed);
    engines.put("e1", new Engine());
    engines.put("e2", new Engine());
    for (int i = 0; i < vmCount; i++) {
      vms.add(new Vm(i, disabled));
    }
    List<String> addresses = vms.stream().map(vm -> vm.world.peerLoads.address()).toList();
    vms.forEach(vm -> vm.world.peerLoads.addCandidates(addresses));
    exchangeNews();
    loop.advance(WARM_UP_MS);
  }

  /** Isolates the last VM from the load reports of the others, in both directions. */
  void isolateLastVm() {
    vms.get(vms.size() - 1).isIsolated = true;
  }

  /** Removes the second engine from the server list of all VMs. */
  void removeSecondEngine() {
    vms.forEach(vm -> vm.world.book.replaceAll(List.of(ServingFixture.engine("e1", 1)), 2));
  }

  /**
   * Runs the simulation.
   *
   * @param forMs duration in milliseconds
   * @param load rate of requests as a multiple of the engines' capacity
   */
  void runFor(long forMs, double load) {
    scheduleCall(loop.millis() + forMs, load * CAPACITY_PER_SECOND);
    loop.advance(forMs);
  }

  /** Runs until all callers have their answers. */
  void finish() {
    loop.advance(CALLER_DEADLINE_MS);
  }

  private void scheduleCall(long untilMs, double perSecond) {
    double waitMs = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    loop.schedule(
        Math.round(waitMs),
        () -> {
          if (loop.millis() < untilMs) {
            Call call = new Call();
            calls.add(call);
            attempt(call);
            scheduleCall(untilMs, perSecond);
          }
        });
  }

  private void attempt(Call call) {
    Vm vm = vms.get(random.nextInt(vms.size()));
    RecordingSink sink = new RecordingSink();
    sink.clock = loop::millis;
    call.sink = sink;
    call.vm = vm;
    call.attemptedMs = loop.millis();
    long leftMs = call.firstMs + CALLER_DEADLINE_MS - loop.millis();
    vm.world.serving.serve(request(vm, leftMs), sink);
    vm.deliver();
    scheduleObservations(call, sink, leftMs);
  }

  private void scheduleObservations(Call call, RecordingSink sink, long leftMs) {
    for (long ms = 0; ms <= leftMs; ms += 5) {
      loop.schedule(ms, () -> observe(call, sink));
    }
  }

  private void observe(Call call, RecordingSink sink) {
    call.vm.deliver();
    if (call.startedMs == Long.MAX_VALUE && sink.log.toString().startsWith("stream")) {
      call.startedMs = loop.millis();
    }
    if (sink.log.toString().startsWith("refused")) {
      call.isRefused = true;
      retryOnce(call, sink);
    }
  }

  private void retryOnce(Call call, RecordingSink sink) {
    boolean isInTime = loop.millis() + sink.retryAfterMs < call.firstMs + CALLER_DEADLINE_MS;
    if (!call.hasRetried && isInTime) {
      call.hasRetried = true;
      loop.schedule(sink.retryAfterMs, () -> attempt(call));
    }
  }

  private CallerRequest request(Vm vm, long leftMs) {
    CallerRequest template = vm.world.request("/chat/x", ServingFixture.KEY, leftMs);
    return new CallerRequest(
        "id-" + ids++,
        template.method(),
        template.host(),
        template.target(),
        template.headers(),
        template.body(),
        template.deadlineMs(),
        template.key(),
        template.prompt(),
        template.resumeAfter(),
        template.receivedAtMs());
  }

  private void exchangeNews() {
    loop.schedule(PeerLoads.ROUND_MS, this::exchangeNews);
    for (Vm vm : vms) {
      for (PeerLoads.DueMessage mail : vm.world.peerLoads.nextRound()) {
        GossipMessage update =
            vm.news.next(
                mail.kind(),
                vm.world.state.ownLoads(),
                List.of(),
                List.of(),
                vm.world.state.tallies());
        sendNews(vm, mail.receiver(), update);
      }
      vm.deliver();
    }
  }

  private void sendNews(Vm from, String receiver, GossipMessage update) {
    for (Vm vm : vms) {
      boolean isDelivered =
          !vm.isIsolated && !from.isIsolated && random.nextDouble() >= updateLossShare;
      if (vm.world.peerLoads.address().equals(receiver) && isDelivered) {
        loop.schedule(ONE_WAY_MS + random.nextInt(5), () -> receiveNews(vm, update));
      }
    }
  }

  private static void receiveNews(Vm vm, GossipMessage update) {
    if (vm.world.peerLoads.receive(update)) {
      FleetTallies.receive(update, vm.world.state.tallies());
    }
  }

  /** Returns the share of the calls matching {@code of} that also match {@code what}. */
  double share(Predicate<Call> of, Predicate<Call> what) {
    long all = calls.stream().filter(of).count();
    return (double) calls.stream().filter(of.and(what)).count() / Math.max(1, all);
  }

  /** Returns the number of calls that were served in time. */
  long countInTime() {
    return calls.stream().filter(Call::isInTime).count();
  }
}
