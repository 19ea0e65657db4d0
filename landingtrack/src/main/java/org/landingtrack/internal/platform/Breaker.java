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
 * A circuit breaker: after some failures in a row it stays open for a while, then lets one probe
 * through at a time. Thread-safe.
 */
public final class Breaker {
  private final Ticker ticker;
  private final int threshold;
  private final long openMs;
  private int failures;
  private long openUntilMs = Long.MIN_VALUE;

  public Breaker(Ticker ticker, int threshold, long openMs) {
    this.ticker = ticker;
    this.threshold = threshold;
    this.openMs = openMs;
  }

  /** Returns true if a call may go now. */
  public synchronized boolean allows() {
    if (failures < threshold) {
      return true;
    }
    long now = ticker.millis();
    if (now < openUntilMs) {
      return false;
    }
    openUntilMs = now + openMs;
    return true;
  }

  /** Notes a call that was answered. */
  public synchronized void succeeded() {
    failures = 0;
  }

  /** Notes a call that failed. */
  public synchronized void failed() {
    failures++;
    if (failures >= threshold) {
      openUntilMs = ticker.millis() + openMs;
    }
  }

  /** Returns true while calls are held back. */
  public synchronized boolean isOpen() {
    return failures >= threshold;
  }
}
