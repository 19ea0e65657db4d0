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
  private static final int MAX_RECORDED_CRASHES = 12;

  private final RequestDigest digest;

  /** Hashes of the crashed servers' incarnations. */
  private final Set<Long> crashedServers = new LinkedHashSet<>();

  /** Those of {@link #crashedServers} that no longer count, since the request succeeded later. */
  private final Set<Long> clearedServers = new LinkedHashSet<>();

  private long lastCrashMs;
  private boolean saved;
  private int remainingReportRounds;

  Suspect(RequestDigest digest, long nowMs) {
    this.digest = digest;
    this.lastCrashMs = nowMs;
  }

  RequestDigest digest() {
    return digest;
  }

  /** Returns the number of crashes that count against the request. */
  int crashCount() {
    int count = 0;
    for (long incarnation : crashedServers) {
      count += clearedServers.contains(incarnation) ? 0 : 1;
    }
    return count;
  }

  /** Records a crash of a server; returns false if it is known or there are too many. */
  boolean addCrash(long incarnation, long atMs) {
    if (crashedServers.size() >= MAX_RECORDED_CRASHES || !crashedServers.add(incarnation)) {
      return false;
    }
    lastCrashMs = Math.max(lastCrashMs, atMs);
    return true;
  }

  /** Records that the request succeeded; returns true if any crash counted against it. */
  boolean clear() {
    return clearedServers.addAll(crashedServers);
  }

  /** Merges the report of another VM or the platform's store; returns true if any of it is new. */
  boolean merge(SuspectReport report, long nowMs) {
    boolean changed = !saved && report.saved();
    saved |= report.saved();
    for (long incarnation : report.crashedServers()) {
      changed |= addCrash(incarnation, nowMs - report.ageMs());
    }
    for (long incarnation : report.clearedServers()) {
      changed |= crashedServers.contains(incarnation) && clearedServers.add(incarnation);
    }
    return changed;
  }

  /** Returns the report for other VMs. */
  SuspectReport toReport(long nowMs) {
    return new SuspectReport(
        digest,
        List.copyOf(crashedServers),
        List.copyOf(clearedServers),
        Math.max(0, nowMs - lastCrashMs),
        saved);
  }

  /** Returns the time of the last crash. */
  long lastCrashMs() {
    return lastCrashMs;
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
  void setReportRounds(int rounds) {
    remainingReportRounds = rounds;
  }

  /** Returns the number of further rounds in which the request is reported. */
  int remainingReportRounds() {
    return remainingReportRounds;
  }
}
