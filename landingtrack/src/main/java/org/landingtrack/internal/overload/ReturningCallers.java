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
package org.landingtrack.internal.overload;

/**
 * Tells client retries after a refusal from first attempts on a route, whichever VM refused them: a
 * retry states a shorter deadline than other requests. On routes where the deadlines of first
 * attempts differ as well, no request counts as a retry. Not thread-safe.
 */
final class ReturningCallers {
  /**
   * Shortest retry delay that is stated to callers. A retry has at least this much less time than a
   * first attempt.
   */
  static final long LEAST_SPENT_MS = 200;

  /** The longest stated deadline is forgotten after one to two times this span. */
  private static final long SPAN_MS = 30_000;

  /**
   * Callers still retry for this long after an overload, so the deadlines that they state then are
   * not typical of the route.
   */
  private static final long RETURNS_MS = 5_000;

  /**
   * If more than this share of requests state a shorter deadline without an overload, deadlines
   * differ on this route anyway.
   */
  private static final double MOST_UNUSUAL = 0.05;

  /** Weight of one request in the moving average of requests with a shorter deadline. */
  private static final double WEIGHT = 0.02;

  private long longestMs;
  private long longestBeforeMs;
  private long spanStartMs;
  private long shortUntilMs = Long.MIN_VALUE;
  private double unusual;

  /**
   * Records a stated deadline, and returns true if the request is probably a retry.
   *
   * @param deadlineMs how long the caller waits for the answer, as it states; 0 if it states
   *     nothing
   * @param isOverloaded true while the service is overloaded
   * @param nowMs the current time
   */
  boolean isReturn(long deadlineMs, boolean isOverloaded, long nowMs) {
    if (deadlineMs <= 0) {
      return false;
    }
    if (nowMs - spanStartMs >= SPAN_MS) {
      longestBeforeMs = longestMs;
      longestMs = 0;
      spanStartMs = nowMs;
    }
    longestMs = Math.max(longestMs, deadlineMs);
    boolean hasShorterDeadline =
        Math.max(longestMs, longestBeforeMs) - deadlineMs >= LEAST_SPENT_MS;
    if (isOverloaded) {
      shortUntilMs = nowMs + RETURNS_MS;
    } else if (nowMs >= shortUntilMs) {
      unusual += WEIGHT * ((hasShorterDeadline ? 1 : 0) - unusual);
    }
    return hasShorterDeadline && unusual <= MOST_UNUSUAL;
  }
}
