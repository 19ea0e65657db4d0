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
  static final long MAX_REPORT_AGE_MS = 600;

  /**
   * How long an order counts as a running load while no report shows its effect: the largest age of
   * a report, the longest call and one step of the rollout.
   */
  static final long UNCONFIRMED_LOAD_MS = 1_100;

  /**
   * How long an engine that accepted its order but still drains requests counts as loading. It
   * loads nothing yet. A load takes 0.8 s on an idle engine; an engine at a sixth of its usual
   * speed drained its requests for up to 8 s, and three such engines delayed ten others for as
   * long.
   */
  static final long DRAINING_LOAD_MS = 2_000;

  /**
   * How long the next engine in the order of the rollout is waited for while its report is pending.
   * Engines usually answer within some ten milliseconds.
   */
  static final long REPORT_WAIT_MS = 100;

  /**
   * Minimum interval between polls of an unresponsive engine; each of them occupies a thread for
   * 400 ms.
   */
  static final long UNRESPONSIVE_POLL_INTERVAL_MS = 1_000;

  private long startedMs;
  private @Nullable Report report;
  private long reportPolledMs;
  private long busySinceMs;
  private boolean pollPending;
  private boolean unresponsive;
  private long pollStartedMs;
  private @Nullable SentOrder lastOrder;
  private boolean orderPending;

  private record SentOrder(long version, long ordersTaken, long atMs) {}

  /**
   * Records the start time of an incarnation of the engine. If it is newer than the known one, the
   * report and the last order of the earlier incarnation are discarded: the new incarnation counts
   * its orders from zero, so that by this count it would seem not to have accepted the last order.
   *
   * @param incarnationStartMs start time by the engine's wall clock; 0 if unknown
   */
  void updateIncarnation(long incarnationStartMs) {
    if (incarnationStartMs <= startedMs) {
      return;
    }
    if (startedMs > 0) {
      report = null;
      lastOrder = null;
      unresponsive = false;
    }
    startedMs = incarnationStartMs;
  }

  /** Returns false if the report comes from an incarnation before the latest known one. */
  boolean isFromLatestIncarnation(Report other) {
    return other.startedMs() == 0 || other.startedMs() >= startedMs;
  }

  /** Records that a poll of the engine starts now; returns false if it must not be polled yet. */
  boolean beginPoll(long nowMs) {
    if (pollPending || (unresponsive && nowMs - pollStartedMs < UNRESPONSIVE_POLL_INTERVAL_MS)) {
      return false;
    }
    pollPending = true;
    pollStartedMs = nowMs;
    return true;
  }

  /** Records the end of a poll and its report; null if the engine did not answer. */
  void endPoll(@Nullable Report answer) {
    pollPending = false;
    unresponsive = answer == null;
    if (answer != null && !isFromLatestIncarnation(answer)) {
      return;
    }
    if (answer != null) {
      updateIncarnation(answer.startedMs());
    }
    boolean wasBusy = report != null && report.busy();
    report = answer;
    reportPolledMs = pollStartedMs;
    if (answer != null && answer.busy() && !wasBusy) {
      busySinceMs = pollStartedMs;
    }
  }

  /** Returns true if a report is likely to arrive soon, so that later engines must wait for it. */
  boolean isReportExpectedSoon(long nowMs) {
    return pollPending && !unresponsive && nowMs - pollStartedMs < REPORT_WAIT_MS;
  }

  /** Returns true if the engine loads the weights or, by what is known, may be loading them. */
  boolean countsAsLoading(long version, long nowMs) {
    if (orderPending) {
      return true;
    }
    if (!reflectsLastOrder(version) && nowMs - lastOrderMs(version) < UNCONFIRMED_LOAD_MS) {
      return true;
    }
    if (report == null || !report.busy()) {
      return false;
    }
    return report.runningRequests() == 0 || nowMs - busySinceMs < DRAINING_LOAD_MS;
  }

  /** Returns the report to base an order on; null if no order may be sent now. */
  @Nullable Report reportForOrder(String model, long version) {
    if (pollPending
        || orderPending
        || report == null
        || report.busy()
        || !reflectsLastOrder(version)) {
      return null;
    }
    return report.weightVersions().getOrDefault(model, 0L) < version ? report : null;
  }

  /**
   * Returns true if the report reflects the last order for these weights. The state in a report may
   * be {@link #MAX_REPORT_AGE_MS} old, so that a recent order may be missing from it.
   */
  private boolean reflectsLastOrder(long version) {
    if (lastOrder == null || lastOrder.version != version) {
      return true;
    }
    return report != null
        && (report.ordersTaken() > lastOrder.ordersTaken
            || reportPolledMs - lastOrder.atMs >= MAX_REPORT_AGE_MS);
  }

  /** Returns when these weights were last ordered; {@link Long#MIN_VALUE} if never. */
  long lastOrderMs(long version) {
    return lastOrder != null && lastOrder.version == version ? lastOrder.atMs : Long.MIN_VALUE;
  }

  /** Records that an order is queued; until {@link #endOrder} no other order is sent. */
  void beginOrder() {
    orderPending = true;
  }

  /** Records the order that is sent now. */
  void recordOrder(long version, long ordersTaken, long nowMs) {
    lastOrder = new SentOrder(version, ordersTaken, nowMs);
  }

  /** Records that the queued order was sent or dropped. */
  void endOrder() {
    orderPending = false;
  }
}
