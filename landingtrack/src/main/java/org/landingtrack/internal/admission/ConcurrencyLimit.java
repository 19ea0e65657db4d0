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

/**
 * Limits how many requests of a service one gateway runs at once. The limit adapts to the time that
 * its requests wait at the backend servers (additive increase, multiplicative decrease).
 *
 * <p>Engines accept more requests than they can start in time. Requests that wait at an engine can
 * no longer be ordered between teams, be sent to another server or be refused in time. So the
 * queues at engines are kept short, and requests wait in the gateway. Thread-safe.
 */
public final class ConcurrencyLimit {
  private static final long WINDOW_MS = 250;
  private static final double DECREASE = 0.8;

  /** Time that a request may wait at its server, whatever its own work. */
  private static final double TOLERATED_WAIT_MS = 50;

  /** A request may also wait for the time of this many requests of its own size. */
  private static final double TOLERATED_WORK_FACTOR = 3;

  private double limit = Double.MAX_VALUE;
  private long decreasedMs = Long.MIN_VALUE;
  private long windowStartMs;
  private double totalWaitMs;
  private double totalWorkMs;
  private int samples;
  private int maxRunning;

  /**
   * Records that a request got its first token.
   *
   * @param waitMs the time at the server beyond the request's own work
   * @param workMs the estimated time of the request's own work
   * @param running the number of requests of this gateway that run now
   * @param sentMs when the request was sent; requests sent before the last decrease are ignored,
   *     since they do not show its effect
   * @param nowMs the current time
   */
  public synchronized void recordFirstToken(
      double waitMs, double workMs, int running, long sentMs, long nowMs) {
    if (sentMs < decreasedMs) {
      return;
    }
    if (samples == 0) {
      windowStartMs = nowMs;
    }
    totalWaitMs += waitMs;
    totalWorkMs += workMs;
    samples++;
    maxRunning = Math.max(maxRunning, running);
    if (nowMs - windowStartMs >= WINDOW_MS) {
      endWindow(nowMs);
    }
  }

  private void endWindow(long nowMs) {
    double tolerated = TOLERATED_WAIT_MS + TOLERATED_WORK_FACTOR * totalWorkMs / samples;
    if (totalWaitMs / samples > tolerated) {
      limit = Math.max(1, Math.min(limit, maxRunning) * DECREASE);
      decreasedMs = nowMs;
    } else if (maxRunning >= Math.floor(limit)) {
      limit += 1;
    }
    totalWaitMs = 0;
    totalWorkMs = 0;
    samples = 0;
    maxRunning = 0;
  }

  /** Returns the current limit, bounded by {@code least} and {@code most}. */
  public synchronized int boundedLimit(int least, int most) {
    return (int) Math.max(least, Math.min(most, limit));
  }
}
