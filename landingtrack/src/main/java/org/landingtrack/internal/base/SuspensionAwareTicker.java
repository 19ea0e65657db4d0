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

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A monotonic clock that also counts the time for which the VM was suspended. The runtime's steady
 * clock stands still meanwhile: a lease, or what is believed of a server, would be too young by
 * that time, and a VM that was suspended for 7 s would go on using weights for 7 s longer than
 * allowed.
 *
 * <p>Java has no clock that does this. The time of day runs on through a suspension, so that it is
 * ahead of the steady clock afterwards. It is ahead as well after it was put forward; then all that
 * is known here is taken to be older than it is, and is read again. A suspension in whose time the
 * clock is put back as far is not seen. Thread-safe.
 */
final class SuspensionAwareTicker implements Ticker {
  /** Both clocks are read one after the other, and the time of day is corrected in small steps. */
  static final long TOLERANCE_MS = 100;

  /**
   * Corrections of the time of day, of half a millisecond a second at most, are followed so often.
   */
  private static final long FOLLOW_EVERY_MS = 1_000;

  /** A thread that was interrupted between its readings of the clocks reads them again. */
  private static final long READING_MS = 1;

  private static final long NANOS_PER_MS = 1_000_000;
  private static final Logger log = LoggerFactory.getLogger("clock");

  private final LongSupplier steadyNanos;
  private final LongSupplier timeOfDayMs;
  private volatile long aheadMs;
  private volatile long suspendedMs;
  private volatile long followedAtMs;

  SuspensionAwareTicker(LongSupplier steadyNanos, LongSupplier timeOfDayMs) {
    this.steadyNanos = steadyNanos;
    this.timeOfDayMs = timeOfDayMs;
    this.followedAtMs = steadyMs();
    this.aheadMs = timeOfDayMs.getAsLong() - followedAtMs;
  }

  private long steadyMs() {
    return steadyNanos.getAsLong() / NANOS_PER_MS;
  }

  @Override
  public long millis() {
    long steadyMs = steadyMs();
    long movedMs = timeOfDayMs.getAsLong() - steadyMs - aheadMs;
    if (Math.abs(movedMs) > TOLERANCE_MS || steadyMs - followedAtMs >= FOLLOW_EVERY_MS) {
      compare();
    }
    return steadyMs + suspendedMs;
  }

  private synchronized void compare() {
    long steadyMs;
    long nowAheadMs;
    do {
      steadyMs = steadyMs();
      nowAheadMs = timeOfDayMs.getAsLong() - steadyMs;
    } while (steadyMs() - steadyMs > READING_MS);
    long movedMs = nowAheadMs - aheadMs;
    aheadMs = nowAheadMs;
    followedAtMs = steadyMs;
    if (movedMs > TOLERANCE_MS) {
      suspendedMs += movedMs;
      log.info("This VM was suspended for {} ms, or its clock was put forward.", movedMs);
    }
  }
}
