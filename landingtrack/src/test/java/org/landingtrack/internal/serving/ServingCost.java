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

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.GossipMessage;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.Route.RetryMode;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * Benchmark, not a test: prints the CPU time per request on one VM of a large fleet, with 60
 * engines, 26 part stores, load reports of all VMs in each round, and no sockets. The first
 * requests are measured separately, since a VM that has just started runs code that is not compiled
 * yet. Run it with the JVM flags of {@code deploy/system.toml}: {@code java -cp ... ServingCost
 * [REQUESTS]}.
 */
public final class ServingCost {
  private static final int ENGINES = 60;
  private static final int STORES = 26;
  private static final int DATA_CENTRES = 4;
  private static final int VMS = 79;
  private static final int KEPT_PARTS = 1_000;
  private static final int FIRST_REQUESTS = 300;
  private static final int REQUESTS_PER_ROUND = 1;
  private static final int MAX_IN_FLIGHT = 8;
  private static final String MODEL = "m";
  private static final String HUB = "10.0.2.1:70";

  private final ManualEventLoop loop = new ManualEventLoop();
  private final FakeTransport transport = new FakeTransport();
  private final PeerLoads peerLoads = new PeerLoads(loop, new Vm("10.0.1.1:70", "dc-0", 20));
  private final DecisionLog log = new NoOpDecisionLog();
  private final ServerRegistry book = new ServerRegistry(loop, log, 1_400, 2_500);
  private final ServingState state = new ServingState(loop, book, peerLoads, log, 3);
  private final Serving serving;
  private final Random random = new Random(1);
  private final Deque<FakeTransport.Sent> inFlight = new ArrayDeque<>();
  private long sequence;
  private int round;

  private ServingCost() {
    serving =
        new Serving(
            loop, state, transport, log, new ServingOptions("dc-0", 20, 8_000, Map.of(), 1, 0, 1));
    state.configure(config(), 1);
    state.weightsListed();
    state.addPublishedWeights(MODEL, 1, 1, loop.millis() - 60_000, ServingState.UpdateSource.LIST);
    List<ServerEntry> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(
          new ServerEntry(
              "engine-" + i,
              "engines",
              "10.0.3." + i + ":80",
              "dc-" + i % DATA_CENTRES,
              8,
              false,
              0,
              Map.of(MODEL, 1L)));
    }
    book.replaceAll(engines, 1);
    List<String> vms = new ArrayList<>();
    for (int i = 2; i <= VMS; i++) {
      vms.add("10.0.1." + i + ":70");
    }
    peerLoads.addCandidates(vms);
    for (int i = 0; i < STORES; i++) {
      Map<String, Integer> parts = new HashMap<>();
      for (int j = 0; j < KEPT_PARTS; j++) {
        parts.put("v1/" + random.nextInt(ENGINES * KEPT_PARTS / 10), 500);
      }
      state.partStores().replaceParts(store(i), 1, loop.millis(), parts);
    }
  }

  private static String store(int index) {
    return "10.0.4." + index + ":80";
  }

  private static ServingConfig config() {
    List<PartStore.StoreInfo> stores = new ArrayList<>();
    for (int i = 0; i < STORES; i++) {
      boolean isFast = i % 2 == 0;
      stores.add(
          new PartStore.StoreInfo(
              "store-" + i,
              store(i),
              "dc-" + i % DATA_CENTRES,
              isFast ? 230_000 : 1_030_000,
              isFast ? 40_000 : 16_000,
              isFast ? 0.5 : 6));
    }
    Route.Target target = new Route.Target("engines", 1);
    Route route =
        new Route(
            "r",
            "host",
            "/",
            RetryMode.RESUME,
            true,
            List.of(target),
            1,
            4_000,
            1_000,
            2,
            true,
            300);
    ServiceInfo engines =
        new ServiceInfo("engines", "/health", 100, new EngineInfo(16, 93_000, 18_432, 40_000));
    return new ServingConfig(
        1,
        List.of(route),
        Map.of("engines", engines),
        ApiKeys.NOT_REQUIRED,
        CallerLimits.DEFAULT,
        stores);
  }

  /** Simulates a round of load reports and the requests that arrive in it. */
  private void simulateRound() {
    loop.advance(PeerLoads.ROUND_MS);
    round++;
    peerLoads.nextRound();
    peerLoads.receive(
        new GossipMessage(
            new Vm(HUB, "dc-0", 40), ++sequence, Kind.ALL, List.of(), loads(), List.of()));
    for (int i = 0; i < STORES; i++) {
      state.partStores().applyChanges(store(i), 1, loop.millis(), Map.of(), List.of());
    }
    for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
      serving.serve(request(), new RecordingSink());
      transport.sends.forEach(inFlight::add);
      transport.sends.clear();
    }
    while (inFlight.size() > MAX_IN_FLIGHT) {
      FakeTransport.Sent sent = inFlight.remove();
      sent.startStream();
      sent.event("1");
      sent.listener.completed(new byte[0]);
    }
  }

  private List<Load> loads() {
    List<Load> loads = new ArrayList<>();
    for (ServerEntry entry : book.entries()) {
      long start = Objects.requireNonNull(book.find(entry.id())).incarnationHash();
      loads.add(new Load(start, random.nextInt(4_000), 6, random.nextInt(20), 40_000));
    }
    for (int i = 0; i < STORES; i++) {
      long hash = Hashes.placement(store(i));
      loads.add(new Load(hash, 0, 2, random.nextInt(20), 0));
    }
    return loads;
  }

  private CallerRequest request() {
    List<Prompt.Part> parts =
        List.of(
            new Prompt.Part(Integer.toString(random.nextInt(10)), 1_500),
            new Prompt.Part(Integer.toString(random.nextInt(600)), 1_200),
            new Prompt.Part(Integer.toString(random.nextInt(6_000)), 900),
            new Prompt.Part("own-" + round, 200));
    return new CallerRequest(
        "id-" + round,
        "POST",
        "host",
        "/x",
        List.of(),
        new byte[0],
        4_000,
        null,
        new Prompt(MODEL, 100, parts),
        null,
        loop.millis());
  }

  private void measure(int requests) {
    long threadNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    long cpuNs = processNs();
    for (int i = 0; i < requests; i += REQUESTS_PER_ROUND) {
      simulateRound();
    }
    threadNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - threadNs;
    cpuNs = processNs() - cpuNs;
    System.out.printf(
        "%d requests: %.3f ms CPU of the event loop per request, %.3f ms CPU of the process%n",
        requests, ms(threadNs) / requests, ms(cpuNs) / requests);
  }

  private static long processNs() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  private static double ms(long ns) {
    return ns / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Measures the first requests of a VM, and then many more: 20000 by default. */
  public static void main(String[] args) {
    ServingCost cost = new ServingCost();
    cost.measure(FIRST_REQUESTS);
    cost.measure(args.length > 0 ? Integer.parseInt(args[0]) : 20_000);
  }
}
