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
package org.landingtrack.internal.base;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Checks {@link SlidingWindowCounter} against a list of all amounts with their times. */
public final class SlidingWindowCounterTest {
  private static final long SPAN_MS = 3_000;
  private static final long SLOT_MS = 250;
  private static final int STEPS = 20_000;
  private static final long SEED = 7;

  private record TimedAmount(long amount, long atMs) {}

  private static long sumWithin(List<TimedAmount> all, long ms, long nowMs) {
    return all.stream()
        .filter(entry -> nowMs - entry.atMs() < ms)
        .mapToLong(TimedAmount::amount)
        .sum();
  }

  @Test
  public void sumIsExactToOneSlot() {
    Random random = new Random(SEED);
    SlidingWindowCounter count = new SlidingWindowCounter(SPAN_MS, SLOT_MS);
    List<TimedAmount> all = new ArrayList<>();
    long nowMs = -5_000;
    for (int i = 0; i < STEPS; i++) {
      nowMs += random.nextInt(100) == 0 ? random.nextInt(5_000) : random.nextInt(60);
      long amount = random.nextInt(5);
      count.add(amount, nowMs);
      all.add(new TimedAmount(amount, nowMs));
      long newestMs = nowMs;
      all.removeIf(entry -> newestMs - entry.atMs() > 2 * SPAN_MS);
      long ms = SLOT_MS * (1 + random.nextInt((int) (SPAN_MS / SLOT_MS)));
      long roundedUp = count.sumRoundedUp(ms, nowMs);
      long roundedDown = count.sumRoundedDown(ms, nowMs);
      assertTrue(
          roundedUp >= sumWithin(all, ms, nowMs)
              && roundedUp <= sumWithin(all, ms + SLOT_MS, nowMs));
      assertTrue(
          roundedDown <= sumWithin(all, ms, nowMs)
              && roundedDown >= sumWithin(all, ms - SLOT_MS, nowMs));
    }
  }

  @Test
  public void dropsAmountsOlderThanWindow() {
    SlidingWindowCounter count = new SlidingWindowCounter(SPAN_MS, SLOT_MS);
    assertEquals(count.sumRoundedUp(SPAN_MS, 0), 0);
    count.add(3, 0);
    assertEquals(count.sumRoundedUp(SPAN_MS, SPAN_MS), 3);
    assertEquals(count.sumRoundedUp(SPAN_MS, 2 * SPAN_MS), 0);
    assertEquals(count.sumRoundedUp(SPAN_MS, 1_000_000), 0);
  }

  /** A sum without the oldest slot drops amounts once they are older than the window. */
  @Test
  public void roundedDownSumDropsExpiredSlots() {
    SlidingWindowCounter count = new SlidingWindowCounter(1_000, 100);
    count.add(5, 0);
    count.add(7, 500);
    assertEquals(count.sumRoundedDown(1_000, 899), 12);
    assertEquals(count.sumRoundedDown(1_000, 1_100), 7);
    assertEquals(count.sumRoundedDown(1_000, 60_000), 0);
    count.add(1, 59_000);
    assertEquals(count.sumRoundedDown(1_000, 60_000), 1);
  }
}
