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
 * A monotonic clock that includes the time for which the VM was suspended. The JVM's steady clock
 * ({@code System.nanoTime}) stops during a suspension: the age of a lease, or of the known state of
 * a server, would be too small by that time, and a VM that was suspended for 7 s would use weights
 * for 7 s longer than allowed.
 *
 * <p>Java has no clock that does this. The time of day goes on during a suspension, so a suspension
 * shows as an increase of the offset between the time of day and the steady clock. Setting the time
 * of day forward shows as the same; all known state is then taken to be older than it is and is
 * read again, which is safe. A suspension during which the time of day is set back by as much is
 * not detected. Thread-safe.
 */
final class SuspensionAwareTicker implements Ticker {
  /**
   * Smaller changes of the offset are ignored: the two clocks are read one after the other, and the
   * time of day is corrected in small steps.
   */
  static final long TOLERANCE_MS = 100;

  /**
   * Interval at which the offset is updated, so that gradual corrections of the time of day (half a
   * millisecond per second at most) do not add up to the tolerance.
   */
  private static final long OFFSET_UPDATE_INTERVAL_MS = 1_000;

  /**
   * Longest time between the readings of the two clocks; a thread that was preempted between them
   * for longer reads them again.
   */
  private static final long MAX_READ_GAP_MS = 1;

  private static final long NANOS_PER_MS = 1_000_000;
  private static final Logger log = LoggerFactory.getLogger("clock");

  private final LongSupplier steadyNanos;
  private final LongSupplier timeOfDayMs;
  private volatile long clockOffsetMs;
  private volatile long suspendedMs;
  private volatile long offsetUpdatedAtMs;

  SuspensionAwareTicker(LongSupplier steadyNanos, LongSupplier timeOfDayMs) {
    this.steadyNanos = steadyNanos;
    this.timeOfDayMs = timeOfDayMs;
    this.offsetUpdatedAtMs = steadyMs();
    this.clockOffsetMs = timeOfDayMs.getAsLong() - offsetUpdatedAtMs;
  }

  private long steadyMs() {
    return steadyNanos.getAsLong() / NANOS_PER_MS;
  }

  @Override
  public long millis() {
    long steadyMs = steadyMs();
    long movedMs = timeOfDayMs.getAsLong() - steadyMs - clockOffsetMs;
    if (Math.abs(movedMs) > TOLERANCE_MS
        || steadyMs - offsetUpdatedAtMs >= OFFSET_UPDATE_INTERVAL_MS) {
      updateOffset();
    }
    return steadyMs + suspendedMs;
  }

  private synchronized void updateOffset() {
    long steadyMs;
    long offsetMs;
    do {
      steadyMs = steadyMs();
      offsetMs = timeOfDayMs.getAsLong() - steadyMs;
    } while (steadyMs() - steadyMs > MAX_READ_GAP_MS);
    long movedMs = offsetMs - clockOffsetMs;
    clockOffsetMs = offsetMs;
    offsetUpdatedAtMs = steadyMs;
    if (movedMs > TOLERANCE_MS) {
      suspendedMs += movedMs;
      log.info("This VM was suspended for {} ms, or its clock was put forward.", movedMs);
    }
  }
}
