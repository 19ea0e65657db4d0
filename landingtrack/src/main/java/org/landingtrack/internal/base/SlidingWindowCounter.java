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

import java.util.Arrays;

/**
 * Counts over a sliding time window that is divided into slots; the amounts of one slot expire
 * together. Needs one number for each slot, and reads each of them for a sum. A time before the
 * newest one seen counts as the newest. Not thread-safe.
 */
public final class SlidingWindowCounter {
  private final long slotMs;
  private final long[] counts;
  private long slot = Long.MIN_VALUE;

  /**
   * Creates an empty counter.
   *
   * @param spanMs the longest window that will be asked for
   * @param slotMs length of a slot, and so the error of a sum
   */
  public SlidingWindowCounter(long spanMs, long slotMs) {
    this.slotMs = slotMs;
    this.counts = new long[(int) (spanMs / slotMs) + 1];
  }

  /** Adds an amount at the given time. */
  public void add(long amount, long nowMs) {
    advanceTo(nowMs);
    counts[index(0)] += amount;
  }

  /** Returns the sum over the last {@code ms}, and over up to one slot before them. */
  public long sumRoundedUp(long ms, long nowMs) {
    return sum(ms / slotMs + 1, nowMs);
  }

  /** Returns the sum over the last {@code ms}, without up to one slot at their start. */
  public long sumRoundedDown(long ms, long nowMs) {
    return sum(ms / slotMs, nowMs);
  }

  private long sum(long slots, long nowMs) {
    advanceTo(nowMs);
    long sum = 0;
    for (int slotsAgo = 0; slotsAgo < Math.min(counts.length, slots); slotsAgo++) {
      sum += counts[index(slotsAgo)];
    }
    return sum;
  }

  private int index(int slotsAgo) {
    return (int) Math.floorMod(slot - slotsAgo, (long) counts.length);
  }

  private void advanceTo(long nowMs) {
    long currentSlot = Math.floorDiv(nowMs, slotMs);
    if (slot == Long.MIN_VALUE || currentSlot - slot >= counts.length) {
      Arrays.fill(counts, 0);
      slot = currentSlot;
    }
    while (slot < currentSlot) {
      slot++;
      counts[index(0)] = 0;
    }
  }
}
