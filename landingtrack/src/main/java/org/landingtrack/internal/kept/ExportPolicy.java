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
 * Decides whether the KV cache blocks of a prompt prefix are exported from an engine to a store VM.
 *
 * <p>Compares the prefill work that the expected reuse of the prefix saves with the bytes that
 * cross the link twice, once for the export and once for the restore. Stateless; does no I/O.
 */
public final class ExportPolicy {
  private static final double ASSUMED_PREFILL_MS_PER_TOKEN = 0.05;
  private static final int MIN_BLOCKS = 2;

  private ExportPolicy() {}

  /**
   * Counts how many groups of a service were requested again. This is the prior for a group that
   * was requested only once.
   *
   * @param groups groups that were requested at least once
   * @param reusedGroups groups that were requested at least twice
   */
  public record ReuseRate(long groups, long reusedGroups) {
    /** Returns the probability that a group is requested again, with add-one smoothing. */
    public double probability() {
      return (1.0 + reusedGroups) / (2.0 + groups);
    }
  }

  /**
   * The decision on one group.
   *
   * @param blocks number of leading blocks to export; 0 for none
   * @param reason the reason, as a sentence
   */
  public record Decision(int blocks, String reason) {}

  /**
   * Decides whether to export the blocks of a group.
   *
   * <p>For a group that was requested again, only the blocks that its last two prompts share are
   * considered; for a new group, the whole prompt, weighted by the reuse rate of the service.
   *
   * @param storedBlocks leading blocks that a store VM already holds
   * @param kvBytesPerToken size of the KV cache of one token, in bytes
   */
  public static Decision decide(
      PrefixHistory history,
      ReuseRate rate,
      Service service,
      int storedBlocks,
      int kvBytesPerToken) {
    boolean requestedAgain = history.requests() > 1;
    int wanted = requestedAgain ? history.sharedBlocks() : history.lastChain().size();
    int blocks = wanted - storedBlocks;
    if (blocks < MIN_BLOCKS) {
      return new Decision(0, "The reusable prefix is already stored or too short.");
    }
    double probability = requestedAgain ? 1 : Math.min(1, rate.probability());
    double tokens = (double) blocks * PrefixChain.BLOCK_TOKENS;
    double savings =
        probability
            * tokens
            * (service.weightTtft() * ASSUMED_PREFILL_MS_PER_TOKEN + service.weightRecompute());
    double transferCost = 2 * tokens * kvBytesPerToken / 1e6 * service.weightLink();
    if (savings <= transferCost) {
      return new Decision(0, "The transfer costs more than the expected reuse saves.");
    }
    return new Decision(wanted, "The expected reuse saves more than the transfer costs.");
  }
}
