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
  private static final double MAX_SAVED = 20;

  /** Retries available at the start. */
  private static final double FIRST_SAVED = 3;

  private final double maxSaved;
  private double saved;

  public RetryBudget() {
    this(MAX_SAVED);
  }

  /** Creates a budget that accumulates at most {@code capacity} retries. */
  public RetryBudget(double capacity) {
    this.maxSaved = capacity;
    this.saved = Math.min(FIRST_SAVED, capacity);
  }

  /** Records a request, which adds {@code percent} hundredths of a retry to the budget. */
  public synchronized void request(double percent) {
    saved = Math.min(maxSaved, saved + percent / 100);
  }

  /** Returns true if at least one retry is available. */
  public synchronized boolean hasSaved() {
    return saved >= 1;
  }

  /** Takes one retry from the budget; returns false if none is available. */
  public synchronized boolean tryRetry() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
