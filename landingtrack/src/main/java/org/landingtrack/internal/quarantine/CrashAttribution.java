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
package org.landingtrack.internal.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which suspects are to blame for the crashes that count against them. Each crash counts
 * against all requests in flight at the server and all parts of their prompts, so a suspect may
 * have enough crashes only because it was there each time together with the cause.
 *
 * <p>Suspects are blamed in the order of their crashes, as in a greedy set cover, and a crash that
 * an earlier one explains does not count against a later one. Among suspects with as many crashes,
 * the more specific one is blamed: that refuses fewer requests, and if it is the wrong one, the
 * cause has more crashes than it after the next. The first parts of prompts come last, since most
 * requests of a team share them, and several causes may stand behind the same one.
 */
final class CrashAttribution {
  /**
   * Number of separate crashes for which a prompt part is blamed that was served before. Such a
   * part is in most cases shared by many requests, and was in flight at all servers when several
   * were lost together.
   */
  static final int MAX_CRASHES_OF_SERVED_PART = 5;

  /**
   * Time after a crash in which a first part of prompts counts one crash less. A VM may learn of a
   * crash first from a sound request that shares only this part with the cause.
   */
  static final long SETTLE_MS = 500;

  private CrashAttribution() {}

  private static boolean isFirstPart(Suspect suspect) {
    return suspect.position() == 0;
  }

  /** Returns true if other suspects may still turn out to have the last crash as well. */
  static boolean isSettling(Suspect suspect, long nowMs) {
    return isFirstPart(suspect) && nowMs - suspect.lastCrashMs() < SETTLE_MS;
  }

  /** Returns true if a suspect has enough crashes to be blamed if nothing else explains them. */
  private static boolean hasEnoughCrashes(Suspect suspect, long nowMs) {
    if (suspect.servedBefore()) {
      return suspect.separateCrashCount() >= MAX_CRASHES_OF_SERVED_PART;
    }
    int settled = suspect.crashCount() - (isSettling(suspect, nowMs) ? 1 : 0);
    return settled >= Quarantine.MAX_CRASHES;
  }

  /** Returns the suspects to blame. */
  static Set<Suspect> blamed(Collection<Suspect> suspects, long nowMs) {
    List<Suspect> candidates = new ArrayList<>();
    for (Suspect suspect : suspects) {
      if (hasEnoughCrashes(suspect, nowMs)) {
        candidates.add(suspect);
      }
    }
    candidates.sort(
        Comparator.comparing(CrashAttribution::isFirstPart)
            .thenComparing(Comparator.comparingInt(Suspect::crashCount).reversed())
            .thenComparing(Comparator.comparingInt(Suspect::position).reversed())
            .thenComparingLong(suspect -> suspect.key().high()));
    Set<Long> explained = new HashSet<>();
    Set<Suspect> blamed = new LinkedHashSet<>();
    for (Suspect candidate : candidates) {
      Set<Long> unexplained = candidate.countedCrashes();
      unexplained.removeAll(explained);
      if (unexplained.size() >= Quarantine.MAX_CRASHES) {
        blamed.add(candidate);
        explained.addAll(unexplained);
      }
    }
    return blamed;
  }
}
