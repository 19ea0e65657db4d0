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
package org.landingtrack.internal.platform;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.StallDetector;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.FeedReport;

/**
 * Holds the latest reports of hubs about the Object API and lets threads wait for a change. The age
 * of a report counts from the earliest time at which the Object API can have given its content.
 * Reports that may have waited in a socket while this process was suspended are dropped.
 * Thread-safe.
 */
public final class HubReports {
  /**
   * Maximum time that a report is under way on a working link; the links of VMs buffer up to some
   * hundred milliseconds.
   */
  private static final long MAX_TRANSIT_MS = 300;

  /** Time within which a resumed process reads what waited in its sockets. */
  private static final long SOCKET_BACKLOG_MS = 1_000;

  /** Time for which a hub that did not answer is not asked again. */
  private static final long UNRESPONSIVE_MS = 2_000;

  private final Ticker ticker;
  private final StallDetector awake;
  private final Set<String> prefixes;
  private final Map<String, HubReport> latest = new HashMap<>();
  private final Map<String, Long> unresponsiveUntilMs = new HashMap<>();
  private long wakeUps;
  private volatile UnchangedListener unchangedListener = (prefix, revision, atMs) -> {};

  /**
   * A report of a hub about one kind.
   *
   * @param hub the address at which the hub is asked
   * @param earliestMs the earliest time at which the Object API can have given the content
   */
  record HubReport(String hub, long revision, long changedRevision, long earliestMs) {}

  /** Receives that a kind had no change after a revision up to a time. */
  interface UnchangedListener {
    void unchanged(String prefix, long revision, long atMs);
  }

  /**
   * Creates a board without reports.
   *
   * @param awake detects suspensions of this process
   * @param prefixes the kinds that are followed; reports about others are dropped
   */
  public HubReports(Ticker ticker, StallDetector awake, Collection<String> prefixes) {
    this.prefixes = Set.copyOf(prefixes);
    this.ticker = ticker;
    this.awake = awake;
  }

  /** Sets the listener for what reports prove; replaces the previous one. */
  void setUnchangedListener(UnchangedListener listener) {
    unchangedListener = listener;
  }

  /** Receives reports of a hub. */
  public void receive(String hub, List<FeedReport> reports) {
    if (reports.isEmpty() || awake.runningForMs() < SOCKET_BACKLOG_MS) {
      return;
    }
    long nowMs = ticker.millis();
    for (FeedReport report : reports) {
      if (!prefixes.contains(report.prefix())) {
        continue;
      }
      long atMs = nowMs - MAX_TRANSIT_MS - Math.max(0, report.ageMs());
      store(new HubReport(hub, report.revision(), report.changedRevision(), atMs), report.prefix());
      unchangedListener.unchanged(report.prefix(), report.revision(), atMs);
    }
  }

  /**
   * Stores a report. Wakes waiting threads only for a change, since reports arrive ten times a
   * second.
   */
  private synchronized void store(HubReport report, String prefix) {
    HubReport known = latest.get(prefix);
    if (known != null && report.earliestMs < known.earliestMs) {
      return;
    }
    latest.put(prefix, report);
    if (known == null || report.changedRevision > known.changedRevision) {
      notifyAll();
    }
  }

  /**
   * Returns the latest report about a kind; empty if it is older than {@code maxAgeMs} or its hub
   * recently did not answer.
   */
  synchronized Optional<HubReport> latest(String prefix, long maxAgeMs) {
    @Nullable HubReport report = latest.get(prefix);
    long nowMs = ticker.millis();
    if (report == null || nowMs - report.earliestMs > maxAgeMs) {
      return Optional.empty();
    }
    return nowMs < unresponsiveUntilMs.getOrDefault(report.hub, Long.MIN_VALUE)
        ? Optional.empty()
        : Optional.of(report);
  }

  /** Records that a hub did not answer, so that it is not asked for a while. */
  synchronized void markUnresponsive(String hub) {
    unresponsiveUntilMs.put(hub, ticker.millis() + UNRESPONSIVE_MS);
  }

  /** Ends all waits, since the role of this process has changed. */
  synchronized void wake() {
    wakeUps++;
    notifyAll();
  }

  /** Waits until a change of a kind after a revision is reported, at most {@code waitMs}. */
  synchronized void await(String prefix, long afterRevision, long waitMs)
      throws InterruptedException {
    long endMs = ticker.millis() + waitMs;
    long leftMs = waitMs;
    long wakesAtStart = wakeUps;
    while (leftMs > 0 && wakeUps == wakesAtStart) {
      HubReport report = latest.get(prefix);
      if (report != null && report.changedRevision > afterRevision) {
        return;
      }
      wait(leftMs);
      leftMs = endMs - ticker.millis();
    }
  }
}
