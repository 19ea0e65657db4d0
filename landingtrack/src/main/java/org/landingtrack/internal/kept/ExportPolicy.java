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
package org.landingtrack.internal.kept;

import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.prefix.PrefixChain;

/**
 * Decides whether a prompt's state is worth exporting: the work that its expected return saves
 * against the bytes that go over the link twice. Does no I/O.
 */
public final class ExportPolicy {
  private static final double ASSUMED_MS_PER_TOKEN = 0.05;
  private static final int MIN_BLOCKS = 2;

  private ExportPolicy() {}

  /** How often groups of a service came back: the prior for one that was seen once. */
  public record ReturnRate(long firsts, long returns) {
    /** Returns the smoothed probability of a return. */
    public double probability() {
      return (1.0 + returns) / (2.0 + firsts);
    }
  }

  /**
   * A verdict.
   *
   * @param blocks blocks to export from the first on; 0 for none
   * @param reason why, in a sentence
   */
  public record Verdict(int blocks, String reason) {}

  /** Decides on a group of which {@code keptBlocks} are in a store VM already. */
  public static Verdict decide(
      PrefixHistory history,
      ReturnRate rate,
      Service service,
      int keptBlocks,
      int kvBytesPerToken) {
    boolean returned = history.visits() > 1;
    int wanted = returned ? history.returningBlocks() : history.lastChain().size();
    int blocks = wanted - keptBlocks;
    if (blocks < MIN_BLOCKS) {
      return new Verdict(0, "The part that returns is kept already or too short.");
    }
    double probability = returned ? 1 : Math.min(1, rate.probability());
    double tokens = (double) blocks * PrefixChain.BLOCK_TOKENS;
    double saved =
        probability
            * tokens
            * (service.weightTtft() * ASSUMED_MS_PER_TOKEN + service.weightRecompute());
    double moved = 2 * tokens * kvBytesPerToken / 1e6 * service.weightLink();
    if (saved <= moved) {
      return new Verdict(0, "Moving it costs more than its expected return saves.");
    }
    return new Verdict(wanted, "Its expected return saves more than moving it costs.");
  }
}
