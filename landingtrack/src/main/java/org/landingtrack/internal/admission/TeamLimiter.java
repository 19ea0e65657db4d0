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

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.catalog.Team;

/**
 * Holds each team to its rate and its concurrency. A gateway takes its share of the team's limits;
 * shares are whole limits divided by the live gateways unless the team's owner says otherwise, so
 * that their sum never passes the limit. Thread-safe.
 */
public final class TeamLimiter {
  private final Ticker ticker;
  private final Map<String, State> states = new ConcurrentHashMap<>();
  private volatile int gateways = 1;

  private static final class State {
    private TokenBucket bucket;
    private int inFlight;

    State(TokenBucket bucket) {
      this.bucket = bucket;
    }
  }

  public TeamLimiter(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Sets how many gateways share the limits. */
  public void sharedBy(int liveGateways) {
    gateways = Math.max(1, liveGateways);
  }

  /** Lets a request of a team in, or refuses it; after success {@link #leave} must follow. */
  public void enter(String name, Team team) {
    double rate = team.requestsPerSecond() / gateways;
    double burst = Math.max(1, (double) team.burst() / gateways);
    int concurrency = Math.max(1, team.concurrency() / gateways);
    State state =
        states.computeIfAbsent(name, n -> new State(new TokenBucket(burst, ticker.millis())));
    synchronized (state) {
      if (state.inFlight >= concurrency) {
        throw new LandingtrackException(
            ErrorKind.RATE_LIMITED,
            "team " + name + " has " + state.inFlight + " requests in flight, its share here");
      }
      long waitMs = state.bucket.take(rate, burst, ticker.millis());
      if (waitMs > 0) {
        throw new LandingtrackException(
            ErrorKind.RATE_LIMITED,
            "team " + name + " is above its rate",
            (int) Math.max(1, (waitMs + 999) / 1000));
      }
      state.inFlight++;
    }
  }

  /** Notes that a request of a team ended. */
  public void leave(String name) {
    State state = states.get(name);
    if (state == null) {
      return;
    }
    synchronized (state) {
      state.inFlight--;
    }
  }
}
