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
package org.landingtrack.internal.platform;

import org.landingtrack.internal.base.Ticker;

/**
 * A circuit breaker. It opens after a number of consecutive failures and then allows one probe call
 * per open period until a call succeeds. Thread-safe.
 */
public final class CircuitBreaker {
  private final Ticker ticker;
  private final int threshold;
  private final long openMs;
  private int failures;
  private long openUntilMs = Long.MIN_VALUE;

  /**
   * Creates a closed breaker.
   *
   * @param threshold consecutive failures from which the breaker is open
   * @param openMs interval between probe calls while the breaker is open
   */
  public CircuitBreaker(Ticker ticker, int threshold, long openMs) {
    this.ticker = ticker;
    this.threshold = threshold;
    this.openMs = openMs;
  }

  /** Returns true if a call may be sent now; while the breaker is open, this call is the probe. */
  public synchronized boolean tryAcquire() {
    if (failures < threshold) {
      return true;
    }
    long nowMs = ticker.millis();
    if (nowMs < openUntilMs) {
      return false;
    }
    openUntilMs = nowMs + openMs;
    return true;
  }

  /** Records a call that was answered and closes the breaker. */
  public synchronized void recordSuccess() {
    failures = 0;
  }

  /** Records a failed call; opens the breaker if the threshold is reached. */
  public synchronized void recordFailure() {
    failures++;
    if (failures >= threshold) {
      openUntilMs = ticker.millis() + openMs;
    }
  }

  /** Returns true while only probe calls are allowed. */
  public synchronized boolean isOpen() {
    return failures >= threshold;
  }
}
