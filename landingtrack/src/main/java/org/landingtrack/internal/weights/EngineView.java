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
 * The state of one engine as the lease holder knows it: the last report and the last order. Both
 * belong to the engine's latest known incarnation, since each incarnation counts its orders from
 * zero.
 *
 * <p>Not thread-safe; {@link VersionRollout} guards it with its lock. Times are milliseconds of the
 * rollout's monotonic clock.
 */
final class EngineView {
  /**
   * Largest age of the state in a report. Some hundred milliseconds more than the age that engines
   * state.
   */
  static final long REPORT_LAG_MS = 600;

  /**
   * How long an order counts as a running load while no report shows its effect: the largest age of
   * a report, the longest call and one step of the rollout.
   */
  static final long UNSEEN_PLACE_MS = 1_100;

  /**
   * How long an engine that accepted its order but still drains requests counts as loading. It
   * loads nothing yet. A load takes 0.8 s on an idle engine; an engine at a sixth of its usual
   * speed drained its requests for up to 8 s, and three such engines delayed ten others for as
   * long.
   */
  static final long DRAIN_PLACE_MS = 2_000;

  /**
   * How long the next engine in the order of the rollout is waited for while its report is pending.
   * Engines usually answer within some ten milliseconds.
   */
  static final long PATIENCE_MS = 100;

  /**
   * Minimum interval between polls of an unresponsive engine; each of them occupies a thread for
   * 400 ms.
   */
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
   * Records the start time of an incarnation of the engine. If it is newer than the known one, the
   * report and the last order of the earlier incarnation are discarded: the new incarnation counts
   * its orders from zero, so that by this count it would seem not to have accepted the last order.
   *
   * @param incarnationStartMs start time by the engine's wall clock; 0 if unknown
   */
  void startSeen(long incarnationStartMs) {
    if (incarnationStartMs <= startedMs) {
      return;
    }
    if (startedMs > 0) {
      report = null;
      lastSent = null;
      silent = false;
    }
    startedMs = incarnationStartMs;
  }

  /** Returns false if the report comes from an incarnation before the latest known one. */
  boolean isOfLatestStart(Report other) {
    return other.startedMs() == 0 || other.startedMs() >= startedMs;
  }

  /** Records that a poll of the engine starts now; returns false if it must not be polled yet. */
  boolean beginAsk(long nowMs) {
    if (asking || (silent && nowMs - askedMs < SILENT_PAUSE_MS)) {
      return false;
    }
    asking = true;
    askedMs = nowMs;
    return true;
  }

  /** Records the end of a poll and its report; null if the engine did not answer. */
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

  /** Returns true if a report is likely to arrive soon, so that later engines must wait for it. */
  boolean isAwaited(long nowMs) {
    return asking && !silent && nowMs - askedMs < PATIENCE_MS;
  }

  /** Returns true if the engine loads the weights or, by what is known, may be loading them. */
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

  /** Returns the report to base an order on; null if no order may be sent now. */
  @Nullable Report readyFor(String model, long version) {
    if (asking || ordering || report == null || report.busy() || !shows(version)) {
      return null;
    }
    return report.weightVersions().getOrDefault(model, 0L) < version ? report : null;
  }

  /**
   * Returns true if the report reflects the last order for these weights. The state in a report may
   * be {@link #REPORT_LAG_MS} old, so that a recent order may be missing from it.
   */
  private boolean shows(long version) {
    if (lastSent == null || lastSent.version != version) {
      return true;
    }
    return report != null
        && (report.ordersTaken() > lastSent.ordersTaken
            || reportAskedMs - lastSent.atMs >= REPORT_LAG_MS);
  }

  /** Returns when these weights were last ordered; {@link Long#MIN_VALUE} if never. */
  long lastOrderMs(long version) {
    return lastSent != null && lastSent.version == version ? lastSent.atMs : Long.MIN_VALUE;
  }

  /** Records that an order is queued; until {@link #endOrder} no other order is sent. */
  void beginOrder() {
    ordering = true;
  }

  /** Records the order that is sent now. */
  void noteSent(long version, long ordersTaken, long nowMs) {
    lastSent = new Sent(version, ordersTaken, nowMs);
  }

  /** Records that the queued order was sent or dropped. */
  void endOrder() {
    ordering = false;
  }
}
