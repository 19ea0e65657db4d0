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
package org.landingtrack.standins;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for the store that engines load weights from: loads take longer when more than three
 * run at once. Thread-safe.
 */
public final class WeightStore {
  private static final int FULL_SPEED_LOADS = 3;

  private final AtomicInteger activeLoads = new AtomicInteger();
  private final AtomicInteger peakConcurrentLoads = new AtomicInteger();

  /**
   * Blocks for the duration of a load: {@code loadMs}, twice as long for the fourth concurrent
   * load, three times as long for the fifth, and so on.
   */
  void load(long loadMs) {
    int concurrent = activeLoads.incrementAndGet();
    peakConcurrentLoads.accumulateAndGet(concurrent, Math::max);
    try {
      Faults.sleep(loadMs * Math.max(1, concurrent - FULL_SPEED_LOADS + 1));
    } finally {
      activeLoads.decrementAndGet();
    }
  }

  /** Returns the largest number of loads that ran at the same time. */
  public int peakConcurrentLoads() {
    return peakConcurrentLoads.get();
  }
}
