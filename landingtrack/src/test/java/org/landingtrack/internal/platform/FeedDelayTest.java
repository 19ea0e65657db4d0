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
package org.landingtrack.internal.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.landingtrack.internal.base.FakeTicker;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests on simulated time how late changes are received that have others before them. */
public final class FeedDelayTest {
  /** Time that servers have to leave in the deployments with and without hubs, in milliseconds. */
  private static final long DRAIN_TIMEOUT_MS = 2_000;

  private static final long DRAIN_TIMEOUT_WITH_HUBS_MS = 3_000;

  private static final long CALL_MS = 5;
  private static final long WAIT_MS = 2_000;

  private final FakeTicker clock = new FakeTicker();

  /** A store whose answers to watches have a bounded number of changes; makes them by a plan. */
  private final class PagedStore implements ObjectApi {
    private final List<Long> changeTimesMs;
    private final int maxChanges;
    private final long callMs;
    private int minFull = Integer.MAX_VALUE;
    private int calls;

    PagedStore(List<Long> changeTimesMs, int maxChanges, long callMs) {
      this.changeTimesMs = changeTimesMs;
      this.maxChanges = maxChanges;
      this.callMs = callMs;
    }

    /** Returns the number of changes made up to now. */
    private int made() {
      int made = 0;
      while (made < changeTimesMs.size() && changeTimesMs.get(made) <= clock.millis()) {
        made++;
      }
      return made;
    }

    @Override
    public Listing list(CallClass callClass, String prefix, String after, int limit) {
      clock.advance(callMs);
      return new Listing(0, List.of());
    }

    @Override
    public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
      calls++;
      long endMs = clock.millis() + waitMs;
      while (made() <= afterRevision && clock.millis() < endMs) {
        clock.advance(1);
      }
      int last = (int) Math.min(made(), afterRevision + maxChanges);
      clock.advance(callMs);
      List<StoredObject> changes = new ArrayList<>();
      for (long revision = afterRevision + 1; revision <= last; revision++) {
        changes.add(new StoredObject("servers/" + revision, revision, revision, "{}"));
      }
      return new Listing(last, changes, changes.size() >= minFull);
    }

    @Override
    public Optional<StoredObject> read(CallClass callClass, String key) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoredObject write(CallClass callClass, String key, String value, long version) {
      throw new UnsupportedOperationException();
    }
  }

  /** Records by how much the latest change was received late. */
  private final class LatenessSink implements ObjectFeed.Sink {
    private final List<Long> changeTimesMs;
    private long received;
    private long maxLateMs;

    LatenessSink(List<Long> changeTimesMs) {
      this.changeTimesMs = changeTimesMs;
    }

    @Override
    public void replaced(ObjectApi.Listing all) {}

    @Override
    public void changed(ObjectApi.Listing changes) {
      for (StoredObject change : changes.objects()) {
        long madeMs = changeTimesMs.get((int) change.revision() - 1);
        maxLateMs = Math.max(maxLateMs, clock.millis() - madeMs);
        received++;
      }
    }

    @Override
    public void outageStarted() {}

    @Override
    public void recovered() {}
  }

  private LatenessSink receiveAll(PagedStore store, long delayMs) {
    LatenessSink sink = new LatenessSink(store.changeTimesMs);
    ObjectFeed feed =
        new ObjectFeed(store, "servers", WAIT_MS, () -> delayMs, new Random(1), clock, sink);
    while (sink.received < store.changeTimesMs.size()) {
      clock.advance(feed.runOnce());
    }
    return sink;
  }

  private List<Long> burst(int changes, long intervalMs) {
    List<Long> timesMs = new ArrayList<>();
    for (int i = 0; i < changes; i++) {
      timesMs.add(clock.millis() + 5_000 + i * intervalMs);
    }
    return timesMs;
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      {250, DRAIN_TIMEOUT_MS}, {100, DRAIN_TIMEOUT_MS}, {600, DRAIN_TIMEOUT_WITH_HUBS_MS}
    };
  }

  /**
   * Guards against delays that add up when each answer ends after one change: a server that drains
   * got requests for seconds longer than it may.
   */
  @Test(dataProvider = "fleets")
  public void changeBehindManyAnswersIsReceivedInTime(long delayMs, long limitMs) {
    for (int changes : new int[] {1, 2, 3, 20, 120}) {
      List<Long> timesMs = burst(changes, 30);
      LatenessSink sink = receiveAll(new PagedStore(timesMs, 1, CALL_MS), delayMs);
      assertTrue(sink.maxLateMs < limitMs, changes + " changes, late: " + sink.maxLateMs);
    }
  }

  @Test(dataProvider = "fleets")
  public void anyChangeOfARandomPlanIsReceivedInTime(long delayMs, long limitMs) {
    Random random = new Random(70);
    for (int round = 0; round < 200; round++) {
      List<Long> timesMs = new ArrayList<>();
      long atMs = clock.millis();
      for (int i = 0; i < 60; i++) {
        atMs += random.nextInt(10) == 0 ? random.nextInt(2_000) : random.nextInt(60);
        timesMs.add(atMs);
      }
      int maxChanges = 1 + random.nextInt(4);
      LatenessSink sink = receiveAll(new PagedStore(timesMs, maxChanges, CALL_MS), delayMs);
      assertTrue(sink.maxLateMs < limitMs, "round " + round + ", late: " + sink.maxLateMs);
    }
  }

  /** Guards against delays after answers that the store ended early, however slow it is. */
  @Test(dataProvider = "fleets")
  public void fullAnswersAreReadWithoutDelay(long delayMs, long limitMs) {
    int changes = 20;
    long slowCallMs = 60;
    List<Long> timesMs = burst(changes, 0);
    PagedStore store = new PagedStore(timesMs, 1, slowCallMs);
    store.minFull = 1;
    LatenessSink sink = receiveAll(store, delayMs);
    assertEquals(sink.maxLateMs, changes * slowCallMs);
    assertTrue(sink.maxLateMs < limitMs);
  }

  /** One call reads several changes that follow closely, as long as answers are not cut. */
  @Test
  public void callsStayFewWhileChangesFollowClosely() {
    int changes = 300;
    long intervalMs = 100;
    PagedStore store = new PagedStore(burst(changes, intervalMs), 500, CALL_MS);
    var unused = receiveAll(store, 250);
    long batches = changes * intervalMs / 250;
    assertTrue(store.calls < 1.5 * batches, store.calls + " calls for " + batches + " batches");
  }

  @Test
  public void singleChangeIsReceivedAtOnce() {
    LatenessSink sink = receiveAll(new PagedStore(burst(1, 0), 500, CALL_MS), 250);
    assertEquals(sink.maxLateMs, CALL_MS);
  }
}
