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

/**
 * Counts of the outcomes of requests at a server or a service in a time window, from one VM or
 * several.
 *
 * @param total requests whose outcome is known, or that have been waiting for too long
 * @param failures requests that failed through a fault of the server, or that have been waiting
 *     until their target was missed
 * @param slow requests that took, or have been waiting, much longer than usual
 */
record Outcomes(long total, long failures, long slow) {
  static final Outcomes NONE = new Outcomes(0, 0, 0);

  Outcomes {
    failures = Math.min(failures, total);
    slow = Math.min(slow, total);
  }

  /** Returns the number of bad outcomes; a request that failed and was slow counts twice. */
  long bad() {
    return failures + slow;
  }

  Outcomes plus(Outcomes other) {
    return new Outcomes(total + other.total, failures + other.failures, slow + other.slow);
  }

  /** Returns these outcomes without others; no count falls below 0. */
  Outcomes minus(Outcomes other) {
    return new Outcomes(
        Math.max(0, total - other.total),
        Math.max(0, failures - other.failures),
        Math.max(0, slow - other.slow));
  }

  /**
   * Scales the counts down, in the same proportions, so that there are at most {@code maxBad}
   * failures and at most {@code maxBad} slow requests.
   */
  Outcomes scaleToMaxBad(long maxBad) {
    long worst = Math.max(failures, slow);
    if (worst <= maxBad) {
      return this;
    }
    return new Outcomes(
        (total * maxBad + worst - 1) / worst, failures * maxBad / worst, slow * maxBad / worst);
  }
}
