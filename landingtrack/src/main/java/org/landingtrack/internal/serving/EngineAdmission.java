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
package org.landingtrack.internal.serving;

import org.landingtrack.internal.serving.ServerSelector.Selection;

/**
 * Admission control for engines: decides whether a request is sent to the selected engine, waits in
 * the queue of this VM, or is refused. An engine without memory for a request starts it only after
 * others have ended, and until then this VM can order it better than the engine's queue. A request
 * that cannot be answered in time is refused at once. Stateless.
 */
final class EngineAdmission {
  /**
   * Maximum expected wait at the engine, in milliseconds. Fetches must end within {@link
   * PartStore#VALIDITY_MS} after the request is sent, and take some hundred milliseconds of that.
   */
  private static final long MAX_ENGINE_WAIT_MS = 250;

  /** Share of an engine's memory for requests in flight; the remainder is for its prefix cache. */
  static final double MEMORY_SHARE = 0.75;

  /**
   * The share for a request that has waited as long as its route's target latency. Without this
   * increase, small requests that arrive later would starve a large one.
   */
  private static final double MAX_MEMORY_SHARE = 1.1;

  /** Minimum time of an engine's answer, approximately. */
  private static final long MIN_ANSWER_MS = 100;

  /** Time over which the retries of callers that are refused together are spread. */
  private static final long RETRY_SPREAD_MS = 300;

  /**
   * Divisor of the caller's remaining time: a retry after more than this fraction of it would leave
   * too little time.
   */
  private static final int RETRY_TIME_DIVISOR = 4;

  private EngineAdmission() {}

  /** The decision on a request. */
  enum Verdict {
    SEND,
    WAIT,
    REFUSE
  }

  /**
   * Decides on a request. Times are in milliseconds.
   *
   * @param choice the selected engine with its estimates
   * @param ageMs time since the request arrived
   * @param targetMs target latency of its route
   * @param leftMs time until its deadline
   * @param expectedWaitMs expected time until an engine would start it, given this VM's queue
   * @param mayQueue false if the engine must not get requests that it may have to reject
   * @param continuesStream true for a stream that other engines may be unable to continue: it gets
   *     the memory of a request that has waited, and does not queue behind others
   */
  static Verdict decide(
      Selection choice,
      long ageMs,
      long targetMs,
      long leftMs,
      long expectedWaitMs,
      boolean mayQueue,
      boolean continuesStream) {
    double waited = continuesStream ? 1 : Math.min(1, (double) ageMs / Math.max(1, targetMs));
    waited = mayQueue ? waited : 0;
    double share = MEMORY_SHARE + (MAX_MEMORY_SHARE - MEMORY_SHARE) * waited;
    if (choice.waitMs() <= MAX_ENGINE_WAIT_MS && choice.memoryShare() <= share) {
      return Verdict.SEND;
    }
    double answerMs = choice.expectedMs() - choice.waitMs();
    long queueMs = continuesStream ? 0 : expectedWaitMs;
    return queueMs + answerMs > leftMs ? Verdict.REFUSE : Verdict.WAIT;
  }

  /**
   * Returns the time in milliseconds after which a refused caller should retry.
   *
   * @param callerHash hash by which the callers are spread
   */
  static long retryAfterMs(long expectedWaitMs, long leftMs, long callerHash) {
    long spreadMs = Math.floorMod(callerHash, RETRY_SPREAD_MS);
    return Math.min(expectedWaitMs, leftMs / RETRY_TIME_DIVISOR) + spreadMs;
  }

  /** Returns true if an answer can come within the remaining time after a wait. */
  static boolean isInTime(long waitMs, long leftMs) {
    return waitMs < leftMs - MIN_ANSWER_MS;
  }

  /** Returns true if an answer can no longer come within the target latency of a route. */
  static boolean isLate(long ageMs, long targetMs) {
    return ageMs + MIN_ANSWER_MS > targetMs;
  }
}
