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

import org.landingtrack.internal.base.SlidingWindowCounter;

/** Sliding-window counts of the outcomes that this VM saw at one server. Not thread-safe. */
final class RecentOutcomes {
  /**
   * Length of the long window. A server that gets a few requests a second has 15 of them in it,
   * enough to tell a server that fails two in five from a healthy one.
   */
  static final long WINDOW_MS = 3_000;

  /**
   * Length of the short window. It has some requests of a server that fails all of them, and the
   * successes from before the failure soon drop out of it.
   */
  static final long LATEST_MS = 1_000;

  private static final long SLOT_MS = 250;

  private final SlidingWindowCounter total = new SlidingWindowCounter(WINDOW_MS, SLOT_MS);
  private final SlidingWindowCounter failures = new SlidingWindowCounter(WINDOW_MS, SLOT_MS);
  private final SlidingWindowCounter slow = new SlidingWindowCounter(WINDOW_MS, SLOT_MS);

  /** Counts a request, whatever its outcome. */
  void addRequest(long nowMs) {
    total.add(1, nowMs);
  }

  void addFailure(long nowMs) {
    failures.add(1, nowMs);
  }

  void addSlow(long nowMs) {
    slow.add(1, nowMs);
  }

  /** Returns the outcomes in both windows. */
  Evidence toEvidence(long nowMs) {
    return new Evidence(within(LATEST_MS, nowMs), within(WINDOW_MS, nowMs));
  }

  private Outcomes within(long windowMs, long nowMs) {
    return new Outcomes(
        total.sumRoundedDown(windowMs, nowMs),
        failures.sumRoundedDown(windowMs, nowMs),
        slow.sumRoundedDown(windowMs, nowMs));
  }
}
