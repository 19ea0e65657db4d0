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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.catalog.Team;

/**
 * Enforces the rate and concurrency limits of teams. A gateway uses its share of a team's limits:
 * the share granted by the team's owner, or an equal share without a grant, so that the sum over
 * all gateways stays within the limit. Thread-safe.
 */
public final class TeamLimiter {
  /** Teams that use less than this part of an equal share are not reported. */
  private static final double MIN_REPORTED_SHARE = 0.5;

  private final Ticker ticker;
  private final Map<String, State> states = new ConcurrentHashMap<>();
  private volatile int gateways = 1;
  private long reportedMs;

  /**
   * This gateway's demand for a team's limit.
   *
   * @param team the name of the team
   * @param wantedShare the share of the limit, from 0 to 1
   */
  public record Demand(String team, double wantedShare) {}

  private static final class State {
    private Team team;
    private TokenBucket bucket;
    private int inFlight;
    private int requests;
    private int maxInFlight;
    private double grantedShare;
    private long grantedUntilMs = Long.MIN_VALUE;

    State(Team team, TokenBucket bucket) {
      this.team = team;
      this.bucket = bucket;
    }
  }

  public TeamLimiter(Ticker ticker) {
    this.ticker = ticker;
    this.reportedMs = ticker.millis();
  }

  /** Sets the number of live gateways that share the limits. */
  public void setGateways(int liveGateways) {
    gateways = Math.max(1, liveGateways);
  }

  /**
   * Admits a request of a team. After success {@link #release} must be called.
   *
   * @throws LandingtrackException if the team has reached its rate or concurrency limit here
   */
  public void acquire(String name, Team team) {
    long now = ticker.millis();
    State state = states.computeIfAbsent(name, n -> newState(team, now));
    synchronized (state) {
      state.team = team;
      state.requests++;
      state.maxInFlight = Math.max(state.maxInFlight, state.inFlight + 1);
      double share = share(state, now);
      int concurrency = (int) Math.max(1, team.concurrency() * share);
      if (state.inFlight >= concurrency) {
        throw new LandingtrackException(
            ErrorKind.RATE_LIMITED,
            "team "
                + name
                + " has "
                + state.inFlight
                + " requests in flight, its share of the limit at this gateway");
      }
      double burst = Math.max(1, team.burst() * share);
      long waitMs = state.bucket.take(team.requestsPerSecond() * share, burst, now);
      if (waitMs > 0) {
        throw new LandingtrackException(
            ErrorKind.RATE_LIMITED,
            "team " + name + " is above its share of the rate limit at this gateway",
            (int) Math.max(1, (waitMs + 999) / 1000));
      }
      state.inFlight++;
    }
  }

  private State newState(Team team, long now) {
    return new State(team, new TokenBucket(Math.max(1, (double) team.burst() / gateways), now));
  }

  private double share(State state, long now) {
    return now < state.grantedUntilMs ? state.grantedShare : 1.0 / gateways;
  }

  /** Records that a request of a team has ended. */
  public void release(String name) {
    State state = states.get(name);
    if (state == null) {
      return;
    }
    synchronized (state) {
      state.inFlight--;
    }
  }

  /** Returns the demand since the last call, for teams that use at least half of an equal share. */
  public synchronized List<Demand> demands() {
    long now = ticker.millis();
    double seconds = Math.max(1, now - reportedMs) / 1000.0;
    reportedMs = now;
    List<Demand> demands = new ArrayList<>();
    states.forEach(
        (name, state) -> {
          double wanted = takeDemand(state, seconds);
          if (wanted >= MIN_REPORTED_SHARE / gateways) {
            demands.add(new Demand(name, Math.min(1, wanted)));
          }
        });
    return demands;
  }

  private static double takeDemand(State state, double seconds) {
    synchronized (state) {
      double ofRate = state.requests / seconds / Math.max(1e-9, state.team.requestsPerSecond());
      double ofConcurrency = (double) state.maxInFlight / Math.max(1, state.team.concurrency());
      state.requests = 0;
      state.maxInFlight = state.inFlight;
      return Math.max(ofRate, ofConcurrency);
    }
  }

  /** Returns the shares of teams' limits that are granted now. */
  public Map<String, Double> grantedShares() {
    long now = ticker.millis();
    Map<String, Double> shares = new TreeMap<>();
    states.forEach(
        (name, state) -> {
          synchronized (state) {
            if (now < state.grantedUntilMs) {
              shares.put(name, state.grantedShare);
            }
          }
        });
    return shares;
  }

  /**
   * Applies a share granted by the team's owner. It expires when the owner's record of it does,
   * after {@link QuotaAllocator#VALID_MS}.
   */
  public void applyGrant(String name, double share) {
    State state = states.get(name);
    if (state == null) {
      return;
    }
    synchronized (state) {
      state.grantedShare = share;
      state.grantedUntilMs = ticker.millis() + QuotaAllocator.VALID_MS;
    }
  }
}
