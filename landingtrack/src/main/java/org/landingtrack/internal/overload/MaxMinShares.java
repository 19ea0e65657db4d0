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
package org.landingtrack.internal.overload;

import java.util.Collection;

/**
 * Divides scarce capacity between teams by max-min fairness: a team gets all that it asks for up to
 * a common level. Keeps a few teams with a very high demand from crowding out all others.
 * Stateless.
 */
final class MaxMinShares {
  /**
   * Each team is admitted at least at this share of what its priority rank gets, so that no team is
   * starved.
   */
  private static final double MIN_TEAM_SHARE = 0.5;

  private static final int BISECTION_STEPS = 30;

  private MaxMinShares() {}

  /**
   * Returns the level at which the teams together get a share of their total demand; {@link
   * #admittedShare} gives the share of a single team.
   *
   * @param demands the demand of each team
   * @param share the share of the total demand that is admitted, from 0 to 1
   */
  static double level(Collection<Long> demands, double share) {
    double low = 0;
    double high = 0;
    double available = 0;
    for (long demand : demands) {
      high = Math.max(high, (double) demand);
      available += share * demand;
    }
    for (int i = 0; i < BISECTION_STEPS; i++) {
      double level = (low + high) / 2;
      double granted = 0;
      for (long demand : demands) {
        granted += demand * admittedShare(level, demand, share);
      }
      if (granted > available) {
        high = level;
      } else {
        low = level;
      }
    }
    return low;
  }

  /**
   * Returns the share of a team's requests that is admitted at a level.
   *
   * @param level the result of {@link #level}
   * @param demand the demand of the team
   * @param share the share of the total demand that is admitted, from 0 to 1
   */
  static double admittedShare(double level, long demand, double share) {
    return demand <= 0 ? 1 : Math.min(1, Math.max(MIN_TEAM_SHARE * share, level / demand));
  }
}
