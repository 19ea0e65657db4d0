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

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.PartStoreReport;
import org.landingtrack.internal.loads.PartStoreReport.Change;
import org.landingtrack.internal.serving.PartStore.StoreInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the updates of a part store that one VM polls and forwards to others. */
public final class PartStoreRelayTest {
  private static final String ADDRESS = "10.0.0.9:80";
  private static final StoreInfo STORE =
      new StoreInfo("parts", ADDRESS, "dc-1", 10_000, 100_000, 0);
  private static final Prompt PROMPT =
      new Prompt("m", 10, List.of(new Prompt.Part("a", 500), new Prompt.Part("own", 100)));

  /** Offset of the servers' clock from that of the event loop. */
  private static final long CLOCK_OFFSET_MS = 5_000;

  private ManualEventLoop loop = new ManualEventLoop();
  private Vm hub = new Vm(loop);
  private Vm other = new Vm(loop);

  @BeforeMethod
  public void setUp() {
    loop = new ManualEventLoop();
    hub = new Vm(loop);
    other = new Vm(loop);
  }

  private static final class Vm {
    final ServerClockEstimate clock = new ServerClockEstimate();
    final PartStores stores;
    final PartStoreRelay relay;
    final List<String> requestedLists = new ArrayList<>();
    private final ManualEventLoop loop;

    Vm(ManualEventLoop loop) {
      this.loop = loop;
      stores = new PartStores(loop, TestPartTransfers.emptyPeerLoads(loop));
      stores.configure(List.of(STORE));
      relay = new PartStoreRelay(loop, stores, clock, requestedLists::add);
    }

    PartTransfers plan() {
      return TestPartTransfers.startTransfers(stores, loop, "v1", PROMPT);
    }

    boolean fetches() {
      return plan().fetches();
    }
  }

  private PartStoreReport answer(long epoch, long from, long next, Change... changes) {
    return new PartStoreReport(
        ADDRESS, epoch, loop.millis() + CLOCK_OFFSET_MS, from, next, List.of(changes));
  }

  private static Change kept(String key) {
    return new Change(true, key, 500);
  }

  private void forwardRound() {
    hub.relay.nextRound();
    hub.relay.reportsToSend(Kind.ALL).forEach(other.relay::receiveReport);
  }

  @Test
  public void answersAreForwardedWithTheirValidity() {
    hub.relay.receiveAnswer(answer(1, 0, 1, kept("v1/a")));
    loop.advance(200);
    forwardRound();
    assertTrue(hub.fetches());
    assertTrue(other.fetches());
    long untilMs = other.plan().fetchDeadlineMs();
    assertEquals(
        other.clock.serverTimeAt(untilMs), hub.clock.serverTimeAt(hub.plan().fetchDeadlineMs()));
    loop.advance(PartStore.VALIDITY_MS);
    assertFalse(other.fetches());
    assertTrue(other.requestedLists.isEmpty());
  }

  @Test
  public void onlyPolledStoresAreForwardedToOtherHubs() {
    other.relay.receiveReport(answer(1, 0, 1, kept("v1/a")));
    other.relay.nextRound();
    assertTrue(other.relay.reportsToSend(Kind.GROUP).isEmpty());
    assertEquals(other.relay.reportsToSend(Kind.ALL).size(), 1);
    hub.relay.receiveAnswer(answer(1, 0, 1, kept("v1/a")));
    hub.relay.nextRound();
    assertEquals(hub.relay.reportsToSend(Kind.GROUP).size(), 1);
    assertTrue(hub.relay.reportsToSend(Kind.OWN).isEmpty());
    hub.relay.nextRound();
    assertTrue(hub.relay.reportsToSend(Kind.ALL).isEmpty(), "reported again without a change");
  }

  /** The next message repeats lost changes; after a longer gap the full list is requested. */
  @Test
  public void recentChangesAreRepeated() {
    hub.relay.receiveAnswer(answer(1, 0, 0));
    forwardRound();
    hub.relay.receiveAnswer(answer(1, 0, 1, kept("v1/a")));
    hub.relay.nextRound();
    loop.advance(300);
    hub.relay.receiveAnswer(answer(1, 1, 2, kept("v1/b")));
    forwardRound();
    assertTrue(other.fetches());
    assertTrue(other.requestedLists.isEmpty());
    hub.relay.receiveAnswer(answer(1, 2, 3, kept("v1/c")));
    hub.relay.nextRound();
    loop.advance(2_000);
    hub.relay.receiveAnswer(answer(1, 3, 4, kept("v1/d")));
    forwardRound();
    assertEquals(other.requestedLists, List.of(ADDRESS));
    hub.relay.receiveAnswer(answer(1, 4, 6, kept("v1/e")));
    forwardRound();
    assertEquals(
        other.requestedLists, List.of(ADDRESS), "list requested twice within the minimum interval");
  }

  @Test
  public void theLastChangeOfAPartWins() {
    hub.relay.receiveAnswer(answer(1, 0, 1, kept("v1/a")));
    hub.relay.receiveAnswer(answer(1, 1, 2, new Change(false, "v1/a", 0)));
    forwardRound();
    assertFalse(hub.fetches());
    assertFalse(other.fetches());
  }

  @Test
  public void newsOfAnEarlierIncarnationAreIgnored() {
    PartStoreReport delayed = answer(1, 0, 1, kept("v1/a"));
    loop.advance(500);
    other.relay.receiveReport(answer(2, 0, 0));
    other.relay.receiveReport(delayed);
    assertFalse(other.fetches());
  }

  /**
   * Guards against using an old answer as a new one. A VM that has just started is suspended for
   * ten seconds; meanwhile a store answers it, crashes and is written to again. The answer that
   * waited in the socket is the first to report the servers' time, so it seems current. The next
   * answer, of another store, corrects the clock. If the first store's state stays valid
   * nevertheless, a fetch ordered at that moment can read a part while it is being written in the
   * restarted store.
   */
  @Test
  public void anOldAnswerExpiresWhenTheClockIsCorrected() {
    PartStoreReport delayed = answer(1, 0, 1, kept("v1/a"));
    loop.advance(10_000);
    other.relay.receiveReport(delayed);
    PartStoreReport current =
        new PartStoreReport("10.0.0.8:80", 1, loop.millis() + CLOCK_OFFSET_MS, 0, 0, List.of());
    other.relay.receiveReport(current);
    assertFalse(other.fetches());
    loop.advance(100);
    other.relay.receiveReport(answer(1, 1, 1));
    assertTrue(other.fetches(), "the store has just confirmed what it stores");
  }

  /** Parts that only a full list shows are forwarded to the VMs that rely on this one. */
  @Test
  public void partsInAListAreForwarded() {
    hub.relay.receiveAnswer(answer(1, 0, 1));
    forwardRound();
    loop.advance(100);
    hub.relay.receiveList(ADDRESS, 1, loop.millis(), 1, Map.of("v1/a", 500));
    hub.relay.receiveAnswer(answer(1, 1, 1));
    forwardRound();
    assertTrue(other.fetches());
  }

  /**
   * Messages are lost, some links are saturated for a while, and the store restarts: no write of a
   * part begins while a fetch of it may still run.
   */
  @Test
  public void noPartIsWrittenDuringAFetch() {
    int fetches = 0;
    for (int seed = 0; seed < 200; seed++) {
      Simulation world = new Simulation(seed);
      world.run();
      fetches += world.fetches;
    }
    assertTrue(fetches > 5_000, "too few fetches for a meaningful result: " + fetches);
  }

  /** A simulation of a store, a VM that polls it, and others that receive its updates. */
  private static final class Simulation {
    private static final int VMS = 4;
    private static final int STEP_MS = 20;
    private static final int STEPS = 600;
    private static final int ROUND_STEPS = 5;
    private static final int RESTART_MS = 1_000;

    private final Random random;
    private final ManualEventLoop loop = new ManualEventLoop();
    private final List<Vm> vms = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private long epoch = 1;
    private long polledEpoch = -1;
    private int polledChanges;
    private boolean complete;
    private long completeAtMs = Long.MAX_VALUE;
    private long fetchesUntilMs;
    private long downUntilMs;
    private long pollAtMs;

    /** Time until which a VM's link is saturated: messages to it are delayed by three seconds. */
    private final long[] saturatedUntilMs = new long[VMS];

    private int fetches;

    Simulation(int seed) {
      random = new Random(seed);
      for (int i = 0; i < VMS; i++) {
        vms.add(new Vm(loop));
      }
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        loop.advance(STEP_MS);
        advanceStore();
        poll();
        if (step % ROUND_STEPS == 0) {
          forwardUpdates();
        }
        vms.forEach(this::request);
      }
    }

    private void advanceStore() {
      if (loop.millis() >= completeAtMs) {
        complete = true;
        completeAtMs = Long.MAX_VALUE;
        changes.add(kept("v1/a"));
      }
      if (random.nextInt(150) == 0) {
        epoch++;
        changes.clear();
        complete = false;
        completeAtMs = Long.MAX_VALUE;
        downUntilMs = loop.millis() + RESTART_MS + random.nextInt(1_000);
      }
    }

    private void poll() {
      if (loop.millis() < pollAtMs || loop.millis() < downUntilMs) {
        return;
      }
      pollAtMs = loop.millis() + 150 + random.nextInt(100);
      int from = polledEpoch == epoch ? polledChanges : 0;
      PartStoreReport news =
          new PartStoreReport(
              ADDRESS,
              epoch,
              loop.millis() + CLOCK_OFFSET_MS,
              from,
              changes.size(),
              List.copyOf(changes.subList(from, changes.size())));
      polledEpoch = epoch;
      polledChanges = changes.size();
      loop.schedule(random.nextInt(100), () -> vms.get(0).relay.receiveAnswer(news));
    }

    private void forwardUpdates() {
      PartStoreRelay first = vms.get(0).relay;
      first.nextRound();
      List<PartStoreReport> news = first.reportsToSend(Kind.ALL);
      for (int i = 1; i < VMS; i++) {
        if (random.nextInt(50) == 0) {
          saturatedUntilMs[i] = loop.millis() + 4_000;
        }
        long delayMs = loop.millis() < saturatedUntilMs[i] ? 3_000 : random.nextInt(50);
        PartStoreRelay relay = vms.get(i).relay;
        if (random.nextInt(10) > 0) {
          loop.schedule(delayMs, () -> news.forEach(relay::receiveReport));
        }
      }
    }

    private void request(Vm vm) {
      PartTransfers moves = vm.plan();
      if (moves.fetches()) {
        fetches++;
        long untilMs =
            vm.clock.serverTimeAt(moves.fetchDeadlineMs()).orElseThrow() - CLOCK_OFFSET_MS;
        fetchesUntilMs = Math.max(fetchesUntilMs, untilMs);
      }
      boolean isUp = loop.millis() >= downUntilMs;
      if (isUp && moves.saves() && !complete && completeAtMs == Long.MAX_VALUE) {
        assertTrue(
            loop.millis() >= fetchesUntilMs,
            "a write began " + (fetchesUntilMs - loop.millis()) + " ms before a fetch may end");
        completeAtMs = loop.millis() + 200;
      }
    }
  }
}
