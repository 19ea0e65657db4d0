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
 * Token bucket for the bytes that may cross the links to the store VMs, and an estimate of the
 * throughput of these links. Thread-safe.
 *
 * <p>The bucket holds {@link #BURST_SECONDS} of the rate and starts full. Callers pass the rate, in
 * bytes per second, with each call, since it is configuration that may change.
 */
public final class LinkBudget {
  private static final double BURST_SECONDS = 2;
  private static final double SMOOTHING = 0.3;
  private static final double INITIAL_BYTES_PER_MS = 50_000;

  private final Ticker ticker;
  private double availableBytes;
  private long lastMs;
  private double bytesPerMs = INITIAL_BYTES_PER_MS;
  private long transferredBytes;

  public LinkBudget(Ticker ticker) {
    this.ticker = ticker;
    this.lastMs = ticker.millis();
    this.availableBytes = Double.MAX_VALUE;
  }

  /** Returns the bytes that may be transferred now. */
  public synchronized long available(double bytesPerSecond) {
    refill(bytesPerSecond);
    return (long) Math.max(0, availableBytes);
  }

  /** Returns the share of the budget that is used up, 0 to 1; 1 if the rate is 0. */
  public synchronized double usedShare(double bytesPerSecond) {
    refill(bytesPerSecond);
    double capacity = bytesPerSecond * BURST_SECONDS;
    return capacity <= 0 ? 1 : Math.min(1, Math.max(0, 1 - availableBytes / capacity));
  }

  /**
   * Takes bytes from the budget if enough are available. A transfer that is larger than the burst
   * needs a full budget and leaves a debt that later refills pay off.
   *
   * @return false if the bytes are not available or the rate is 0
   */
  public synchronized boolean tryAcquire(long wanted, double bytesPerSecond) {
    refill(bytesPerSecond);
    double needed = Math.min((double) wanted, bytesPerSecond * BURST_SECONDS);
    if (availableBytes < needed || bytesPerSecond <= 0) {
      return false;
    }
    availableBytes -= wanted;
    return true;
  }

  private void refill(double bytesPerSecond) {
    long now = ticker.millis();
    double refilled = (now - lastMs) * bytesPerSecond / 1000;
    availableBytes = Math.min(bytesPerSecond * BURST_SECONDS, availableBytes + refilled);
    lastMs = now;
  }

  /**
   * Records a completed transfer and updates the estimated throughput. Ignores a transfer without
   * bytes or without duration.
   */
  public synchronized void recordTransfer(long transferBytes, double elapsedMs) {
    if (transferBytes <= 0 || elapsedMs <= 0) {
      return;
    }
    transferredBytes += transferBytes;
    bytesPerMs += SMOOTHING * (transferBytes / elapsedMs - bytesPerMs);
  }

  /** Records a failed transfer, which lowers the estimated throughput. */
  public synchronized void recordFailure() {
    bytesPerMs *= 1 - SMOOTHING;
  }

  /** Returns the estimated throughput in bytes per millisecond, at least 1. */
  public synchronized double bytesPerMs() {
    return Math.max(1, bytesPerMs);
  }

  /** Returns the total of the bytes transferred. */
  public synchronized long transferredBytes() {
    return transferredBytes;
  }
}
