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
package org.landingtrack.internal.health;

import java.util.function.BinaryOperator;
import java.util.function.UnaryOperator;
import org.landingtrack.internal.loads.Tally;

/**
 * Outcomes of requests at a server or a service in two time windows. The long window of a server
 * that has just begun to fail still contains many successes; the short window has too few requests
 * to find a server that fails only some of them.
 *
 * @param latest the last {@link RecentOutcomes#LATEST_MS}
 * @param window the last {@link RecentOutcomes#WINDOW_MS}
 */
record Evidence(Outcomes latest, Outcomes window) {
  static final Evidence NONE = new Evidence(Outcomes.NONE, Outcomes.NONE);

  // Indexes of the counts in a tally. Each set of outcomes takes three; count 0 is the rank.
  private static final int LATEST = 1;
  private static final int WINDOW = 4;
  private static final int EJECTING_VMS = 7;
  private static final int PROBES = 8;
  private static final int ANSWERED_PROBES = 9;

  /**
   * What VMs report about an ejected server.
   *
   * @param ejectingVms number of VMs that eject it now
   * @param probes number of VMs that probed it recently
   * @param answeredProbes number of VMs whose probe it answered recently
   */
  record EjectionCounts(long ejectingVms, long probes, long answeredProbes) {
    static final EjectionCounts NONE = new EjectionCounts(0, 0, 0);

    /** Reads the counts from the tally of a server. */
    static EjectionCounts of(Tally tally) {
      return new EjectionCounts(
          tally.count(EJECTING_VMS), tally.count(PROBES), tally.count(ANSWERED_PROBES));
    }

    EjectionCounts plus(EjectionCounts other) {
      return new EjectionCounts(
          ejectingVms + other.ejectingVms,
          probes + other.probes,
          answeredProbes + other.answeredProbes);
    }
  }

  /** Reads the outcomes from the tally of a server or a service. */
  static Evidence of(Tally tally) {
    return new Evidence(outcomes(tally, LATEST), outcomes(tally, WINDOW));
  }

  private static Outcomes outcomes(Tally tally, int index) {
    return new Outcomes(tally.count(index), tally.count(index + 1), tally.count(index + 2));
  }

  /**
   * Returns the tally of a server for the other VMs. If a message has no room for all servers,
   * ejected ones and those with the most bad outcomes come first.
   */
  Tally toServerTally(long server, EjectionCounts counts) {
    return tally(server, window.bad() + counts.ejectingVms(), counts);
  }

  /** Returns the tally of a service, which is the baseline that its servers are compared with. */
  Tally toServiceTally(long service) {
    return tally(service, window.total() + 1, EjectionCounts.NONE);
  }

  private Tally tally(long key, long rank, EjectionCounts counts) {
    return new Tally(
        key,
        rank,
        latest.total(),
        latest.failures(),
        latest.slow(),
        window.total(),
        window.failures(),
        window.slow(),
        counts.ejectingVms(),
        counts.probes(),
        counts.answeredProbes());
  }

  /** Returns true if any request failed or was slow. */
  boolean hasFaults() {
    return latest.bad() > 0 || window.bad() > 0;
  }

  Evidence plus(Evidence other) {
    return map(other, Outcomes::plus);
  }

  /** Returns these outcomes without others; no count falls below 0. */
  Evidence minus(Evidence other) {
    return map(other, Outcomes::minus);
  }

  /** Scales the outcomes of both windows as {@link Outcomes#scaleToMaxBad} does. */
  Evidence scaleToMaxBad(long maxBad) {
    return map(outcomes -> outcomes.scaleToMaxBad(maxBad));
  }

  private Evidence map(Evidence other, BinaryOperator<Outcomes> operator) {
    return new Evidence(operator.apply(latest, other.latest), operator.apply(window, other.window));
  }

  private Evidence map(UnaryOperator<Outcomes> operator) {
    return new Evidence(operator.apply(latest), operator.apply(window));
  }
}
