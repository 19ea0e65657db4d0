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
import org.landingtrack.internal.loads.LoadNews.Kind;
import org.landingtrack.internal.loads.StoreNews;
import org.landingtrack.internal.loads.StoreNews.Change;
import org.landingtrack.internal.serving.PartStore.StoreInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the updates of a part store that one VM polls and forwards to others. */
public final class PartRelayTest {
  private static final String ADDRESS = "10.0.0.9:80";
  private static final StoreInfo STORE =
      new StoreInfo("parts", ADDRESS, "dc-1", 10_000, 100_000, 0);
  private static final Prompt PROMPT =
      new Prompt("m", 10, List.of(new Prompt.Part("a", 500), new Prompt.Part("own", 100)));

  /** Offset of the servers' clock from that of the event loop. */
  private static final long AHEAD_MS = 5_000;

  private ManualLoop loop = new ManualLoop();
  private Vm hub = new Vm(loop);
  private Vm other = new Vm(loop);

  @BeforeMethod
  public void newVms() {
    loop = new ManualLoop();
    hub = new Vm(loop);
    other = new Vm(loop);
  }

  private static final class Vm {
    final ServersClock clock = new ServersClock();
    final PartStores stores;
    final PartRelay relay;
    final List<String> wantedLists = new ArrayList<>();
    private final ManualLoop loop;

    Vm(ManualLoop loop) {
      this.loop = loop;
      stores = new PartStores(loop, PartPlans.noPeers(loop));
      stores.configure(List.of(STORE));
      relay = new PartRelay(loop, stores, clock, wantedLists::add);
    }

    PartMoves plan() {
      return PartPlans.moves(stores, loop, "v1", PROMPT);
    }

    boolean fetches() {
      return plan().fetches();
    }
  }

  private StoreNews answer(long epoch, long from, long next, Change... changes) {
    return new StoreNews(ADDRESS, epoch, loop.millis() + AHEAD_MS, from, next, List.of(changes));
  }

  private static Change kept(String key) {
    return new Change(true, key, 500);
  }

  private void round() {
    hub.relay.nextRound();
    hub.relay.news(Kind.ALL).forEach(other.relay::heard);
  }

  @Test
  public void whatAHubIsToldIsHandedOnAndBelievedAsLong() {
    hub.relay.answered(answer(1, 0, 1, kept("v1/a")));
    loop.advance(200);
    round();
    assertTrue(hub.fetches());
    assertTrue(other.fetches());
    long untilMs = other.plan().untilMs();
    assertEquals(other.clock.at(untilMs), hub.clock.at(hub.plan().untilMs()));
    loop.advance(PartStore.BELIEF_MS);
    assertFalse(other.fetches());
    assertTrue(other.wantedLists.isEmpty());
  }

  @Test
  public void otherHubsHearOnlyWhatThisOneAskedItself() {
    other.relay.heard(answer(1, 0, 1, kept("v1/a")));
    other.relay.nextRound();
    assertTrue(other.relay.news(Kind.GROUP).isEmpty());
    assertEquals(other.relay.news(Kind.ALL).size(), 1);
    hub.relay.answered(answer(1, 0, 1, kept("v1/a")));
    hub.relay.nextRound();
    assertEquals(hub.relay.news(Kind.GROUP).size(), 1);
    assertTrue(hub.relay.news(Kind.OWN).isEmpty());
    hub.relay.nextRound();
    assertTrue(hub.relay.news(Kind.ALL).isEmpty(), "reported again without a change");
  }

  /** The next message repeats lost changes; after a longer gap the full list is requested. */
  @Test
  public void changesAreRepeatedForAWhile() {
    hub.relay.answered(answer(1, 0, 0));
    round();
    hub.relay.answered(answer(1, 0, 1, kept("v1/a")));
    hub.relay.nextRound();
    loop.advance(300);
    hub.relay.answered(answer(1, 1, 2, kept("v1/b")));
    round();
    assertTrue(other.fetches());
    assertTrue(other.wantedLists.isEmpty());
    hub.relay.answered(answer(1, 2, 3, kept("v1/c")));
    hub.relay.nextRound();
    loop.advance(2_000);
    hub.relay.answered(answer(1, 3, 4, kept("v1/d")));
    round();
    assertEquals(other.wantedLists, List.of(ADDRESS));
    hub.relay.answered(answer(1, 4, 6, kept("v1/e")));
    round();
    assertEquals(
        other.wantedLists, List.of(ADDRESS), "list requested twice within the minimum interval");
  }

  @Test
  public void ofTwoChangesOfAPartTheLastCounts() {
    hub.relay.answered(answer(1, 0, 1, kept("v1/a")));
    hub.relay.answered(answer(1, 1, 2, new Change(false, "v1/a", 0)));
    round();
    assertFalse(hub.fetches());
    assertFalse(other.fetches());
  }

  @Test
  public void newsOfAnEarlierStartSayNothing() {
    StoreNews delayed = answer(1, 0, 1, kept("v1/a"));
    loop.advance(500);
    other.relay.heard(answer(2, 0, 0));
    other.relay.heard(delayed);
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
  public void anAnswerThatWasReadLateIsNotBelievedOnceTheClockIsKnownBetter() {
    StoreNews delayed = answer(1, 0, 1, kept("v1/a"));
    loop.advance(10_000);
    other.relay.heard(delayed);
    StoreNews current = new StoreNews("10.0.0.8:80", 1, loop.millis() + AHEAD_MS, 0, 0, List.of());
    other.relay.heard(current);
    assertFalse(other.fetches());
    loop.advance(100);
    other.relay.heard(answer(1, 1, 1));
    assertTrue(other.fetches(), "the store has just confirmed what it stores");
  }

  /** Parts that only a full list shows are forwarded to the VMs that rely on this one. */
  @Test
  public void whatAListShowsIsHandedOn() {
    hub.relay.answered(answer(1, 0, 1));
    round();
    loop.advance(100);
    hub.relay.listed(ADDRESS, 1, loop.millis(), 1, Map.of("v1/a", 500));
    hub.relay.answered(answer(1, 1, 1));
    round();
    assertTrue(other.fetches());
  }

  /**
   * Messages are lost, some links are saturated for a while, and the store restarts: no write of a
   * part begins while a fetch of it may still run.
   */
  @Test
  public void noFetchMeetsAPartThatIsBeingWritten() {
    int fetches = 0;
    for (int seed = 0; seed < 200; seed++) {
      World world = new World(seed);
      world.run();
      fetches += world.fetches;
    }
    assertTrue(fetches > 5_000, "too few fetches for a meaningful result: " + fetches);
  }

  /** A simulation of a store, a VM that polls it, and others that receive its updates. */
  private static final class World {
    private static final int VMS = 4;
    private static final int STEP_MS = 20;
    private static final int STEPS = 600;
    private static final int ROUND_STEPS = 5;
    private static final int RESTART_MS = 1_000;

    private final Random random;
    private final ManualLoop loop = new ManualLoop();
    private final List<Vm> vms = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private long epoch = 1;
    private long asked = -1;
    private int known;
    private boolean whole;
    private long wholeAtMs = Long.MAX_VALUE;
    private long fetchesUntilMs;
    private long downUntilMs;
    private long pollAtMs;

    /** Time until which a VM's link is saturated: messages to it are delayed by three seconds. */
    private final long[] slowUntilMs = new long[VMS];

    private int fetches;

    World(int seed) {
      random = new Random(seed);
      for (int i = 0; i < VMS; i++) {
        vms.add(new Vm(loop));
      }
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        loop.advance(STEP_MS);
        liveOn();
        poll();
        if (step % ROUND_STEPS == 0) {
          tell();
        }
        vms.forEach(this::request);
      }
    }

    private void liveOn() {
      if (loop.millis() >= wholeAtMs) {
        whole = true;
        wholeAtMs = Long.MAX_VALUE;
        changes.add(kept("v1/a"));
      }
      if (random.nextInt(150) == 0) {
        epoch++;
        changes.clear();
        whole = false;
        wholeAtMs = Long.MAX_VALUE;
        downUntilMs = loop.millis() + RESTART_MS + random.nextInt(1_000);
      }
    }

    private void poll() {
      if (loop.millis() < pollAtMs || loop.millis() < downUntilMs) {
        return;
      }
      pollAtMs = loop.millis() + 150 + random.nextInt(100);
      int from = asked == epoch ? known : 0;
      StoreNews news =
          new StoreNews(
              ADDRESS,
              epoch,
              loop.millis() + AHEAD_MS,
              from,
              changes.size(),
              List.copyOf(changes.subList(from, changes.size())));
      asked = epoch;
      known = changes.size();
      loop.schedule(random.nextInt(100), () -> vms.get(0).relay.answered(news));
    }

    private void tell() {
      PartRelay first = vms.get(0).relay;
      first.nextRound();
      List<StoreNews> news = first.news(Kind.ALL);
      for (int i = 1; i < VMS; i++) {
        if (random.nextInt(50) == 0) {
          slowUntilMs[i] = loop.millis() + 4_000;
        }
        long delayMs = loop.millis() < slowUntilMs[i] ? 3_000 : random.nextInt(50);
        PartRelay relay = vms.get(i).relay;
        if (random.nextInt(10) > 0) {
          loop.schedule(delayMs, () -> news.forEach(relay::heard));
        }
      }
    }

    private void request(Vm vm) {
      PartMoves moves = vm.plan();
      if (moves.fetches()) {
        fetches++;
        long untilMs = vm.clock.at(moves.untilMs()).orElseThrow() - AHEAD_MS;
        fetchesUntilMs = Math.max(fetchesUntilMs, untilMs);
      }
      boolean isUp = loop.millis() >= downUntilMs;
      if (isUp && moves.saves() && !whole && wholeAtMs == Long.MAX_VALUE) {
        assertTrue(
            loop.millis() >= fetchesUntilMs,
            "a write began " + (fetchesUntilMs - loop.millis()) + " ms before a fetch may end");
        wholeAtMs = loop.millis() + 200;
      }
    }
  }
}
