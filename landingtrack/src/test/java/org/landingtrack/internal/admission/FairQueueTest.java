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
package org.landingtrack.internal.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.RunState;
import org.landingtrack.internal.base.FakeTicker;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * Tests the order in which queued requests of several teams are admitted, and which are refused.
 */
public final class FairQueueTest {
  private static final long FAR_MS = 1_000_000_000;

  private final ExecutorService threads = Executors.newCachedThreadPool();

  @AfterClass
  public void stop() {
    threads.shutdownNow();
  }

  private Future<?> startWaiter(FairQueue queue, String team, double weight, List<String> order)
      throws Exception {
    int before = queue.waiting();
    CountDownLatch began = new CountDownLatch(1);
    Future<?> future =
        threads.submit(
            () -> {
              began.countDown();
              queue.acquire(team, weight, FAR_MS);
              order.add(team);
              queue.release(1);
              return null;
            });
    assertTrue(began.await(10, TimeUnit.SECONDS));
    while (queue.waiting() == before && !future.isDone()) {
      Thread.onSpinWait();
    }
    return future;
  }

  @Test
  public void aLargeTeamDoesNotStarveASmallOne() throws Exception {
    FairQueue queue = new FairQueue(new FakeTicker(), () -> 1, 100);
    queue.acquire("large", 1, FAR_MS);
    List<String> order = Collections.synchronizedList(new ArrayList<>());
    List<Future<?>> futures = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      futures.add(startWaiter(queue, "large", 1, order));
    }
    futures.add(startWaiter(queue, "small", 1, order));
    queue.release(1);
    for (Future<?> future : futures) {
      future.get(10, TimeUnit.SECONDS);
    }
    assertTrue(order.indexOf("small") <= 2, "small came at place " + order.indexOf("small"));
  }

  @Test
  public void slotsAreSharedByWeight() throws Exception {
    FairQueue queue = new FairQueue(new FakeTicker(), () -> 1, 100);
    queue.acquire("other", 1, FAR_MS);
    List<String> order = Collections.synchronizedList(new ArrayList<>());
    List<Future<?>> futures = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      futures.add(startWaiter(queue, "light", 1, order));
    }
    for (int i = 0; i < 12; i++) {
      futures.add(startWaiter(queue, "heavy", 3, order));
    }
    queue.release(1);
    for (Future<?> future : futures) {
      future.get(10, TimeUnit.SECONDS);
    }
    long heavyInFirst = order.subList(0, 12).stream().filter("heavy"::equals).count();
    assertTrue(heavyInFirst >= 8, "heavy got " + heavyInFirst + " of the first 12");
  }

  @Test
  public void aRequestThatCannotMeetItsDeadlineIsRefusedWithARetryDelay() throws Exception {
    FakeTicker ticker = new FakeTicker();
    FairQueue queue = new FairQueue(ticker, () -> 1, 100);
    queue.acquire("t", 1, FAR_MS);
    LandingtrackException e =
        expectThrows(
            LandingtrackException.class, () -> queue.acquire("t", 1, ticker.millis() + 10));
    assertEquals(e.kind(), ErrorKind.OVERLOADED);
    assertEquals(e.kind().runState(), RunState.NOT_RUN);
    assertTrue(e.retryAfterSeconds() >= 1);
  }

  @Test
  public void aFullQueueMakesRoomForATeamBelowItsShare() throws Exception {
    FairQueue queue = new FairQueue(new FakeTicker(), () -> 1, 4);
    queue.acquire("large", 1, FAR_MS);
    List<String> order = Collections.synchronizedList(new ArrayList<>());
    List<Future<?>> large = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      large.add(startWaiter(queue, "large", 1, order));
    }
    expectThrows(LandingtrackException.class, () -> queue.acquire("large", 1, FAR_MS));
    Future<?> small =
        threads.submit(
            () -> {
              queue.acquire("small", 1, FAR_MS);
              order.add("small");
              queue.release(1);
              return null;
            });
    int refused = 0;
    while (refused == 0) {
      for (Future<?> future : large) {
        refused += future.isDone() ? 1 : 0;
      }
      Thread.onSpinWait();
    }
    queue.release(1);
    small.get(10, TimeUnit.SECONDS);
    assertEquals(refused, 1);
  }

  @Test
  public void aRequestWhoseDeadlinePassesLeavesTheQueue() throws Exception {
    FakeTicker ticker = new FakeTicker();
    FairQueue queue = new FairQueue(ticker, () -> 1, 10);
    queue.acquire("t", 1, FAR_MS);
    Future<?> future =
        threads.submit(
            () -> {
              queue.acquire("t", 1, ticker.millis() + 5_000);
              return null;
            });
    while (queue.waiting() == 0) {
      Thread.onSpinWait();
    }
    ticker.advance(5_000);
    Exception e = expectThrows(Exception.class, () -> future.get(20, TimeUnit.SECONDS));
    assertTrue(e.getCause() instanceof LandingtrackException, e.toString());
    assertEquals(queue.waiting(), 0);
  }
}
