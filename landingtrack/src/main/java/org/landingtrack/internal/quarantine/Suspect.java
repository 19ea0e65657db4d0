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

/** A request under which servers ended. Not thread-safe. */
final class Suspect {
  /**
   * Ends that are remembered of one request. Three decide; a request that ended well after twelve
   * is not what they ended of.
   */
  private static final int MAX_KNOWN_ENDS = 12;

  private final RequestDigest digest;
  private final Set<Long> ended = new LinkedHashSet<>();
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

  /** Returns the number of servers that it is blamed for. */
  int blamedFor() {
    int count = 0;
    for (long start : ended) {
      count += cleared.contains(start) ? 0 : 1;
    }
    return count;
  }

  /** Notes the end of a server under it; returns true if that is new. */
  boolean charge(long start, long atMs) {
    if (ended.size() >= MAX_KNOWN_ENDS || !ended.add(start)) {
      return false;
    }
    lastMs = Math.max(lastMs, atMs);
    return true;
  }

  /** Notes that it ended well; returns true if it was blamed for anything. */
  boolean clear() {
    return cleared.addAll(ended);
  }

  /** Joins what another VM knows of it; returns true if any of that is new. */
  boolean join(SuspectNews news, long nowMs) {
    boolean changed = !saved && news.saved();
    saved |= news.saved();
    for (long start : news.ended()) {
      changed |= charge(start, nowMs - news.agoMs());
    }
    for (long start : news.cleared()) {
      changed |= ended.contains(start) && cleared.add(start);
    }
    return changed;
  }

  SuspectNews news(long nowMs) {
    return new SuspectNews(
        digest, List.copyOf(ended), List.copyOf(cleared), Math.max(0, nowMs - lastMs), saved);
  }

  /** Returns when the last server ended under it. */
  long lastMs() {
    return lastMs;
  }

  boolean isSaved() {
    return saved;
  }

  /** Notes that the platform's store has it. */
  void saved() {
    saved = true;
  }

  /** Has it told to other VMs in so many rounds. */
  void tellFor(int rounds) {
    roundsToTell = rounds;
  }

  /** Returns in how many more rounds it is told. */
  int roundsToTell() {
    return roundsToTell;
  }
}
