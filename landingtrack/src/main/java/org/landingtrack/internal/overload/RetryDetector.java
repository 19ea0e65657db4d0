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
final class RetryDetector {
  /**
   * Shortest retry delay that is stated to callers. A retry has at least this much less time than a
   * first attempt.
   */
  static final long MIN_RETRY_DELAY_MS = 200;

  /** The longest stated deadline is forgotten after one to two times this span. */
  private static final long LONGEST_MEMORY_MS = 30_000;

  /**
   * Callers still retry for this long after an overload, so the deadlines that they state then are
   * not typical of the route.
   */
  private static final long RETRIES_AFTER_OVERLOAD_MS = 5_000;

  /**
   * If more than this share of requests state a shorter deadline without an overload, deadlines
   * differ on this route anyway.
   */
  private static final double MAX_SHORTER_SHARE = 0.05;

  /** Weight of one request in the moving average of requests with a shorter deadline. */
  private static final double SMOOTHING = 0.02;

  private long longestMs;
  private long previousLongestMs;
  private long spanStartMs;
  private long overloadedUntilMs = Long.MIN_VALUE;
  private double shorterShare;

  /**
   * Records a stated deadline, and returns true if the request is probably a retry.
   *
   * @param deadlineMs how long the caller waits for the answer, as it states; 0 if it states
   *     nothing
   * @param isOverloaded true while the service is overloaded
   * @param nowMs the current time
   */
  boolean isRetry(long deadlineMs, boolean isOverloaded, long nowMs) {
    if (deadlineMs <= 0) {
      return false;
    }
    if (nowMs - spanStartMs >= LONGEST_MEMORY_MS) {
      previousLongestMs = longestMs;
      longestMs = 0;
      spanStartMs = nowMs;
    }
    longestMs = Math.max(longestMs, deadlineMs);
    boolean hasShorterDeadline =
        Math.max(longestMs, previousLongestMs) - deadlineMs >= MIN_RETRY_DELAY_MS;
    if (isOverloaded) {
      overloadedUntilMs = nowMs + RETRIES_AFTER_OVERLOAD_MS;
    } else if (nowMs >= overloadedUntilMs) {
      shorterShare += SMOOTHING * ((hasShorterDeadline ? 1 : 0) - shorterShare);
    }
    return hasShorterDeadline && shorterShare <= MAX_SHORTER_SHARE;
  }
}
