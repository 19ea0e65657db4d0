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
 * A token bucket that limits the rate of calls to the platform. Lower call classes leave a reserve
 * of tokens for the higher ones, so that a burst of status calls never delays a lease. Thread-safe.
 */
public final class CallBudget {
  private final Ticker ticker;
  private final double tokensPerMs;
  private final double capacity;
  private double tokens;
  private long lastRefillMs;

  /** Creates a full bucket for a call rate; its capacity is the calls of one second. */
  public CallBudget(Ticker ticker, double callsPerSecond) {
    if (callsPerSecond <= 0) {
      throw new IllegalArgumentException("callsPerSecond must be positive, not " + callsPerSecond);
    }
    this.ticker = ticker;
    this.tokensPerMs = callsPerSecond / 1000;
    this.capacity = Math.max(1, callsPerSecond);
    this.tokens = capacity;
    this.lastRefillMs = ticker.millis();
  }

  /** Takes a token if enough tokens are left for the class; returns false if the call must wait. */
  public synchronized boolean tryAcquire(CallClass callClass) {
    long nowMs = ticker.millis();
    tokens = Math.min(capacity, tokens + (nowMs - lastRefillMs) * tokensPerMs);
    lastRefillMs = nowMs;
    double reserve = capacity * callClass.reserve();
    if (tokens - 1 < Math.min(reserve, capacity - 1)) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
