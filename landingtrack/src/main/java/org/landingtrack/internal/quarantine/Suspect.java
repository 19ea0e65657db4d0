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
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A request or prompt part that was in flight at servers when these crashed. Not thread-safe. */
final class Suspect {
  /**
   * Maximum number of crashes that are recorded for one suspect; what ends well after twelve is not
   * the cause of the crashes.
   */
  private static final int MAX_RECORDED_CRASHES = 12;

  /** Crashes closer together than this may have one cause, such as the loss of a data centre. */
  private static final long SEPARATE_CRASHES_MS = 500;

  private final SuspectKey key;
  private int position;
  private boolean servedBefore;

  /** When each incarnation crashed, by its hash; for reported crashes, at the latest. */
  private final Map<Long, Long> crashTimesMs = new LinkedHashMap<>();

  /** Those of {@link #crashTimesMs} that no longer count, since a request ended well later. */
  private final Set<Long> clearedServers = new LinkedHashSet<>();

  /** The most separate crashes that another VM reported. */
  private int reportedSeparateCrashes;

  private long lastCrashMs;
  private boolean blamed;
  private boolean saved;
  private int remainingReportRounds;

  Suspect(Charge charge, long nowMs) {
    this.key = charge.key();
    this.position = charge.position();
    this.servedBefore = charge.servedBefore();
    this.lastCrashMs = nowMs;
  }

  SuspectKey key() {
    return key;
  }

  /** Returns the lowest position at which the part stood in a prompt. */
  int position() {
    return position;
  }

  /** Returns true for a part of a prompt with which some request ended well. */
  boolean servedBefore() {
    return servedBefore;
  }

  /** Returns the crashed incarnations that count against the suspect. */
  Set<Long> countedCrashes() {
    Set<Long> counted = new LinkedHashSet<>(crashTimesMs.keySet());
    counted.removeAll(clearedServers);
    return counted;
  }

  /** Returns the number of crashes that count against the suspect. */
  int crashCount() {
    return crashTimesMs.size() - clearedServers.size();
  }

  /** Returns the number of those crashes that were apart in time from the one before. */
  int separateCrashCount() {
    return Math.max(countSeparateHere(), Math.min(reportedSeparateCrashes, crashCount()));
  }

  private int countSeparateHere() {
    List<Long> timesMs = new ArrayList<>();
    countedCrashes().forEach(incarnation -> timesMs.add(crashTimesMs.get(incarnation)));
    timesMs.sort(null);
    int count = 0;
    long previousMs = 0;
    for (long atMs : timesMs) {
      if (count == 0 || atMs - previousMs >= SEPARATE_CRASHES_MS) {
        count++;
        previousMs = atMs;
      }
    }
    return count;
  }

  /** Records a crash of a server; returns false if it is known or there are too many. */
  boolean addCrash(Charge charge, long incarnation, long atMs) {
    refine(charge);
    return addCrash(incarnation, atMs);
  }

  private boolean addCrash(long incarnation, long atMs) {
    if (crashTimesMs.size() >= MAX_RECORDED_CRASHES
        || crashTimesMs.putIfAbsent(incarnation, atMs) != null) {
      return false;
    }
    lastCrashMs = Math.max(lastCrashMs, atMs);
    return true;
  }

  /** Takes over what a charge says about a prompt part; returns true if any of it is new. */
  private boolean refine(Charge charge) {
    boolean changed = charge.position() < position || (charge.servedBefore() && !servedBefore);
    position = Math.min(position, charge.position());
    servedBefore |= charge.servedBefore();
    return changed;
  }

  /** Records that a request ended well; returns true if any crash counted against the suspect. */
  boolean clear() {
    servedBefore |= key.isPromptPart();
    reportedSeparateCrashes = 0;
    return clearedServers.addAll(crashTimesMs.keySet());
  }

  /** Merges the report of another VM or the platform's store; returns true if any of it is new. */
  boolean merge(SuspectReport report, long nowMs) {
    boolean changed = refine(report.charge());
    changed |= report.separateCrashes() > reportedSeparateCrashes;
    reportedSeparateCrashes = Math.max(reportedSeparateCrashes, report.separateCrashes());
    changed |= !saved && report.saved();
    saved |= report.saved();
    for (long incarnation : report.crashedServers()) {
      changed |= addCrash(incarnation, nowMs - report.ageMs());
    }
    for (long incarnation : report.clearedServers()) {
      changed |= crashTimesMs.containsKey(incarnation) && clearedServers.add(incarnation);
    }
    return changed;
  }

  /** Returns the report for other VMs. */
  SuspectReport toReport(long nowMs) {
    return new SuspectReport(
        new Charge(key, position, servedBefore),
        key.isPromptPart() ? separateCrashCount() : 0,
        List.copyOf(crashTimesMs.keySet()),
        List.copyOf(clearedServers),
        Math.max(0, nowMs - lastCrashMs),
        saved);
  }

  /** Returns the time of the last crash. */
  long lastCrashMs() {
    return lastCrashMs;
  }

  /** Returns true if the suspect is held to be the cause of its crashes. */
  boolean isBlamed() {
    return blamed;
  }

  void setBlamed(boolean isBlamed) {
    blamed = isBlamed;
  }

  /** Returns true if the platform's store has the suspect. */
  boolean isSaved() {
    return saved;
  }

  /** Records that the platform's store has the suspect. */
  void saved() {
    saved = true;
  }

  /** Sets the number of further rounds in which the suspect is reported to other VMs. */
  void setReportRounds(int rounds) {
    remainingReportRounds = rounds;
  }

  /** Returns the number of further rounds in which the suspect is reported. */
  int remainingReportRounds() {
    return remainingReportRounds;
  }
}
