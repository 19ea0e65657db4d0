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
 * Holds each team to its rate and its concurrency. A gateway takes its share of the team's limits:
 * what the team's owner granted, else an equal one, so that the sum over all gateways keeps to the
 * limit. Thread-safe.
 */
public final class TeamLimiter {
  /** Teams of which less than this part of an equal share is used are not reported. */
  private static final double REPORTED_PART = 0.5;

  private final Ticker ticker;
  private final Map<String, State> states = new ConcurrentHashMap<>();
  private volatile int gateways = 1;
  private long reportedMs;

  /**
   * What this gateway wants of a team's limit.
   *
   * @param wanted share of the limit, 0 to 1
   */
  public record Demand(String team, double wanted) {}

  private static final class State {
    private Team team;
    private TokenBucket bucket;
    private int inFlight;
    private int asked;
    private int mostInFlight;
    private double granted;
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

  /** Sets how many gateways share the limits. */
  public void sharedBy(int liveGateways) {
    gateways = Math.max(1, liveGateways);
  }

  /** Lets a request of a team in, or refuses it; after success {@link #leave} must follow. */
  public void enter(String name, Team team) {
    long now = ticker.millis();
    State state = states.computeIfAbsent(name, n -> newState(team, now));
    synchronized (state) {
      state.team = team;
      state.asked++;
      state.mostInFlight = Math.max(state.mostInFlight, state.inFlight + 1);
      double share = share(state, now);
      int concurrency = (int) Math.max(1, team.concurrency() * share);
      if (state.inFlight >= concurrency) {
        throw new LandingtrackException(
            ErrorKind.RATE_LIMITED,
            "team " + name + " has " + state.inFlight + " requests in flight, its share here");
      }
      double burst = Math.max(1, team.burst() * share);
      long waitMs = state.bucket.take(team.requestsPerSecond() * share, burst, now);
      if (waitMs > 0) {
        throw new LandingtrackException(
            ErrorKind.RATE_LIMITED,
            "team " + name + " is above its rate",
            (int) Math.max(1, (waitMs + 999) / 1000));
      }
      state.inFlight++;
    }
  }

  private State newState(Team team, long now) {
    return new State(team, new TokenBucket(Math.max(1, (double) team.burst() / gateways), now));
  }

  private double share(State state, long now) {
    return now < state.grantedUntilMs ? state.granted : 1.0 / gateways;
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

  /** Returns what is wanted since the last call, of the teams that are near their share. */
  public synchronized List<Demand> demands() {
    long now = ticker.millis();
    double seconds = Math.max(1, now - reportedMs) / 1000.0;
    reportedMs = now;
    List<Demand> demands = new ArrayList<>();
    states.forEach(
        (name, state) -> {
          double wanted = takeWanted(state, seconds);
          if (wanted >= REPORTED_PART / gateways) {
            demands.add(new Demand(name, Math.min(1, wanted)));
          }
        });
    return demands;
  }

  private static double takeWanted(State state, double seconds) {
    synchronized (state) {
      double ofRate = state.asked / seconds / Math.max(1e-9, state.team.requestsPerSecond());
      double ofConcurrency = (double) state.mostInFlight / Math.max(1, state.team.concurrency());
      state.asked = 0;
      state.mostInFlight = state.inFlight;
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
              shares.put(name, state.granted);
            }
          }
        });
    return shares;
  }

  /** Takes a share that the team's owner granted; it holds until the owner's memory of it ends. */
  public void granted(String name, double share) {
    State state = states.get(name);
    if (state == null) {
      return;
    }
    synchronized (state) {
      state.granted = share;
      state.grantedUntilMs = ticker.millis() + ShareBook.VALID_MS;
    }
  }
}
