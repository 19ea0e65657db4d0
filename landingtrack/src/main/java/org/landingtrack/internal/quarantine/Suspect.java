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

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A request that was in flight at servers when these crashed. Not thread-safe. */
final class Suspect {
  /**
   * Maximum number of crashes that are recorded for one request. Three suffice for the quarantine;
   * a request that succeeds after twelve is not the cause of the crashes.
   */
  private static final int MAX_KNOWN_ENDS = 12;

  private final RequestDigest digest;

  /** Hashes of the crashed servers' incarnations. */
  private final Set<Long> ended = new LinkedHashSet<>();

  /** Those of {@link #ended} that no longer count, since the request succeeded later. */
  private final Set<Long> cleared = new LinkedHashSet<>();

  private long lastMs;
  private boolean saved;
  private int roundsToTell;

  Suspect(RequestDigest digest, long nowMs) {
    this.digest = digest;
    this.lastMs = nowMs;
  }

  RequestDigest digest() {
    return digest;
  }

  /** Returns the number of crashes that count against the request. */
  int blamedFor() {
    int count = 0;
    for (long incarnation : ended) {
      count += cleared.contains(incarnation) ? 0 : 1;
    }
    return count;
  }

  /** Records a crash of a server; returns false if it is known or there are too many. */
  boolean charge(long incarnation, long atMs) {
    if (ended.size() >= MAX_KNOWN_ENDS || !ended.add(incarnation)) {
      return false;
    }
    lastMs = Math.max(lastMs, atMs);
    return true;
  }

  /** Records that the request succeeded; returns true if any crash counted against it. */
  boolean clear() {
    return cleared.addAll(ended);
  }

  /** Merges the report of another VM or the platform's store; returns true if any of it is new. */
  boolean join(SuspectNews report, long nowMs) {
    boolean changed = !saved && report.saved();
    saved |= report.saved();
    for (long incarnation : report.ended()) {
      changed |= charge(incarnation, nowMs - report.agoMs());
    }
    for (long incarnation : report.cleared()) {
      changed |= ended.contains(incarnation) && cleared.add(incarnation);
    }
    return changed;
  }

  /** Returns the report for other VMs. */
  SuspectNews news(long nowMs) {
    return new SuspectNews(
        digest, List.copyOf(ended), List.copyOf(cleared), Math.max(0, nowMs - lastMs), saved);
  }

  /** Returns the time of the last crash. */
  long lastMs() {
    return lastMs;
  }

  /** Returns true if the platform's store has the request. */
  boolean isSaved() {
    return saved;
  }

  /** Records that the platform's store has the request. */
  void saved() {
    saved = true;
  }

  /** Sets the number of further rounds in which the request is reported to other VMs. */
  void tellFor(int rounds) {
    roundsToTell = rounds;
  }

  /** Returns the number of further rounds in which the request is reported. */
  int roundsToTell() {
    return roundsToTell;
  }
}
