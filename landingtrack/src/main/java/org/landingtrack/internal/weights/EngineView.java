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
package org.landingtrack.internal.weights;

import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.weights.EngineControl.Report;

/**
 * What the holder of the rollout knows of one engine: its last report and the last order to it.
 * Both are of one start of the engine, the latest that is known; another counts its orders anew.
 *
 * <p>Not thread-safe: the rollout guards it. Times are milliseconds of the rollout's clock.
 */
final class EngineView {
  /** Reports are up to this old, by some hundred milliseconds more than engines say. */
  static final long REPORT_LAG_MS = 600;

  /**
   * An order whose effect no report shows holds a place among the loads for this long at most: the
   * age of reports, the longest call and one look.
   */
  static final long UNSEEN_PLACE_MS = 1_100;

  /**
   * An engine that took its order but still ends requests holds a place for this long: it loads
   * nothing yet. A load takes 0.8 s with nothing running; an engine at a sixth of its speed ended
   * its requests in up to 8 s, and three such held up the ten others for as long.
   */
  static final long DRAIN_PLACE_MS = 2_000;

  /** Engines report within some ten milliseconds; so long an engine's turn is kept for it. */
  static final long PATIENCE_MS = 100;

  /** A silent engine takes a caller for 400 ms; it is asked this often. */
  static final long SILENT_PAUSE_MS = 1_000;

  private long startedMs;
  private @Nullable Report report;
  private long reportAskedMs;
  private long busySinceMs;
  private boolean asking;
  private boolean silent;
  private long askedMs;
  private @Nullable Sent lastSent;
  private boolean ordering;

  private record Sent(long version, long ordersTaken, long atMs) {}

  /**
   * Notes the start of the engine that somebody told of; 0 if it did not tell. What is known of a
   * start before it is forgotten: by its count of orders, a new start seemed to have taken none of
   * those that it was sent.
   */
  void startSeen(long seenMs) {
    if (seenMs <= startedMs) {
      return;
    }
    if (startedMs > 0) {
      report = null;
      lastSent = null;
      silent = false;
    }
    startedMs = seenMs;
  }

  /** Returns false for what a start before the latest known one said. */
  boolean isOfLatestStart(Report told) {
    return told.startedMs() == 0 || told.startedMs() >= startedMs;
  }

  /** Notes that the engine is asked now; false if it should not be asked yet. */
  boolean beginAsk(long nowMs) {
    if (asking || (silent && nowMs - askedMs < SILENT_PAUSE_MS)) {
      return false;
    }
    asking = true;
    askedMs = nowMs;
    return true;
  }

  /** Notes the answer; null if none came. */
  void endAsk(@Nullable Report answer) {
    asking = false;
    silent = answer == null;
    if (answer != null && !isOfLatestStart(answer)) {
      return;
    }
    if (answer != null) {
      startSeen(answer.startedMs());
    }
    boolean wasBusy = report != null && report.busy();
    report = answer;
    reportAskedMs = askedMs;
    if (answer != null && answer.busy() && !wasBusy) {
      busySinceMs = askedMs;
    }
  }

  /** Returns whether the report is about to come, so that no other engine should go first. */
  boolean isAwaited(long nowMs) {
    return asking && !silent && nowMs - askedMs < PATIENCE_MS;
  }

  /** Returns whether the engine loads the weights, or may do so for all that is known. */
  boolean holdsPlace(long version, long nowMs) {
    if (ordering) {
      return true;
    }
    if (!shows(version) && nowMs - lastOrderMs(version) < UNSEEN_PLACE_MS) {
      return true;
    }
    if (report == null || !report.busy()) {
      return false;
    }
    return report.running() == 0 || nowMs - busySinceMs < DRAIN_PLACE_MS;
  }

  /** Returns the report on which an order may be given now; null if none may be given. */
  @Nullable Report readyFor(String model, long version) {
    if (asking || ordering || report == null || report.busy() || !shows(version)) {
      return null;
    }
    return report.weightVersions().getOrDefault(model, 0L) < version ? report : null;
  }

  /** Reports are some time old: an order that was given just now may not show in them. */
  private boolean shows(long version) {
    if (lastSent == null || lastSent.version != version) {
      return true;
    }
    return report != null
        && (report.ordersTaken() > lastSent.ordersTaken
            || reportAskedMs - lastSent.atMs >= REPORT_LAG_MS);
  }

  /** Returns when these weights were last ordered; the smallest number if never. */
  long lastOrderMs(long version) {
    return lastSent != null && lastSent.version == version ? lastSent.atMs : Long.MIN_VALUE;
  }

  void beginOrder() {
    ordering = true;
  }

  /** Notes that an order is sent now. */
  void noteSent(long version, long ordersTaken, long nowMs) {
    lastSent = new Sent(version, ordersTaken, nowMs);
  }

  void endOrder() {
    ordering = false;
  }
}
