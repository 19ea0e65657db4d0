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
package org.landingtrack.internal.dispatch;

/**
 * Limits retries to a share of the requests, so that an outage does not cause a retry storm. A
 * token bucket that requests fill and retries drain. Thread-safe.
 */
public final class RetryBudget {
  /** Default maximum of accumulated retries. */
  private static final double DEFAULT_CAPACITY = 20;

  /** Retries available at the start. */
  private static final double INITIAL_RETRIES = 3;

  private final double capacity;
  private double availableRetries;

  public RetryBudget() {
    this(DEFAULT_CAPACITY);
  }

  /** Creates a budget that accumulates at most {@code capacity} retries. */
  public RetryBudget(double capacity) {
    this.capacity = capacity;
    this.availableRetries = Math.min(INITIAL_RETRIES, capacity);
  }

  /** Records a request, which adds {@code percent} hundredths of a retry to the budget. */
  public synchronized void recordRequest(double percent) {
    availableRetries = Math.min(capacity, availableRetries + percent / 100);
  }

  /** Returns true if at least one retry is available. */
  public synchronized boolean hasRetry() {
    return availableRetries >= 1;
  }

  /** Takes one retry from the budget; returns false if none is available. */
  public synchronized boolean tryAcquire() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
