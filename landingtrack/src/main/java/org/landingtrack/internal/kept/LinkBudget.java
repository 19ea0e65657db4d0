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
package org.landingtrack.internal.kept;

import org.landingtrack.internal.base.Ticker;

/**
 * Bytes that may be moved over the links to the store VMs, and how fast they were seen to go.
 * Thread-safe.
 */
public final class LinkBudget {
  private static final double BURST_SECONDS = 2;
  private static final double SMOOTHING = 0.3;
  private static final double FIRST_BYTES_PER_MS = 50_000;

  private final Ticker ticker;
  private double bytes;
  private long lastMs;
  private double bytesPerMs = FIRST_BYTES_PER_MS;
  private long moved;

  public LinkBudget(Ticker ticker) {
    this.ticker = ticker;
    this.lastMs = ticker.millis();
    this.bytes = Double.MAX_VALUE;
  }

  /** Returns the bytes that may be moved now at a rate of so many a second. */
  public synchronized long available(double bytesPerSecond) {
    refill(bytesPerSecond);
    return (long) Math.max(0, bytes);
  }

  /** Returns the share of the budget that is used up, 0 to 1, at a rate of so many a second. */
  public synchronized double scarcity(double bytesPerSecond) {
    refill(bytesPerSecond);
    double full = bytesPerSecond * BURST_SECONDS;
    return full <= 0 ? 1 : Math.min(1, Math.max(0, 1 - bytes / full));
  }

  /**
   * Takes bytes if they are there; a move that is larger than the burst waits for a full budget.
   */
  public synchronized boolean tryTake(long wanted, double bytesPerSecond) {
    refill(bytesPerSecond);
    double needed = Math.min((double) wanted, bytesPerSecond * BURST_SECONDS);
    if (bytes < needed || bytesPerSecond <= 0) {
      return false;
    }
    bytes -= wanted;
    return true;
  }

  private void refill(double bytesPerSecond) {
    long now = ticker.millis();
    double gained = (now - lastMs) * bytesPerSecond / 1000;
    bytes = Math.min(bytesPerSecond * BURST_SECONDS, bytes + gained);
    lastMs = now;
  }

  /** Notes a move that was made. */
  public synchronized void observed(long movedBytes, double elapsedMs) {
    if (movedBytes <= 0 || elapsedMs <= 0) {
      return;
    }
    moved += movedBytes;
    bytesPerMs += SMOOTHING * (movedBytes / elapsedMs - bytesPerMs);
  }

  /** Notes a move that failed, which makes the link look slower. */
  public synchronized void failed() {
    bytesPerMs *= 1 - SMOOTHING;
  }

  /** Returns the observed speed. */
  public synchronized double bytesPerMs() {
    return Math.max(1, bytesPerMs);
  }

  /** Returns the bytes moved so far. */
  public synchronized long moved() {
    return moved;
  }
}
