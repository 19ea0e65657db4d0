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
import org.landingtrack.internal.platform.ObjectApi.CallClass;

/**
 * A token bucket for calls to the platform. Lower classes leave a reserve for the higher ones, so
 * that a burst of status never delays a lease. Thread-safe.
 */
public final class CallBudget {
  private final Ticker ticker;
  private final double perMs;
  private final double capacity;
  private double tokens;
  private long lastMs;

  /** Creates a budget of so many calls a second, with one second's worth of burst. */
  public CallBudget(Ticker ticker, double callsPerSecond) {
    if (callsPerSecond <= 0) {
      throw new IllegalArgumentException("callsPerSecond must be positive: " + callsPerSecond);
    }
    this.ticker = ticker;
    this.perMs = callsPerSecond / 1000;
    this.capacity = Math.max(1, callsPerSecond);
    this.tokens = capacity;
    this.lastMs = ticker.millis();
  }

  /** Takes a token if the class may; returns false if the call must wait. */
  public synchronized boolean tryTake(CallClass callClass) {
    long now = ticker.millis();
    tokens = Math.min(capacity, tokens + (now - lastMs) * perMs);
    lastMs = now;
    double reserve = capacity * callClass.reserve();
    if (tokens - 1 < Math.min(reserve, capacity - 1)) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
