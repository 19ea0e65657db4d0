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

/**
 * The backoff that a backend server asked this VM for: the time in which the server wants no
 * request from it. The first request afterwards is the trial, which shows whether the server
 * accepts requests again. Not thread-safe.
 */
final class ServerBackoff {
  /**
   * Upper bound of a backoff. A longer backoff would have the same effect as the end of the server,
   * whose next incarnation starts without a backoff.
   */
  static final long MAX_MS = 3_600_000;

  /** How long after the end of the backoff the trial is left to requests that can be retried. */
  private static final long TRIAL_MS = 1_000;

  private long untilMs = Long.MIN_VALUE;
  private boolean unproven;

  /**
   * Notes that the server asked this VM to back off. Of several backoffs the one that ends last
   * counts.
   *
   * @return true if no backoff was active
   */
  boolean request(long restMs, long nowMs) {
    boolean isNew = !isActive(nowMs);
    unproven = true;
    untilMs = Math.max(untilMs, nowMs + Math.min(restMs, MAX_MS));
    return isNew;
  }

  boolean isActive(long nowMs) {
    return nowMs < untilMs;
  }

  /** Notes a successful answer of the server. */
  void recordSuccess(long nowMs) {
    unproven &= isActive(nowMs);
  }

  /**
   * Returns true if the backoff is over, no answer has shown yet that the server accepts requests,
   * and the trial should be left to another request. A request that cannot be retried after a
   * refusal becomes the trial only if no other request came for {@link #TRIAL_MS}.
   *
   * @param avoidsTrial true if the request has no attempt left after this one, or a trial is in
   *     flight
   */
  boolean isTrialLeftToOthers(long nowMs, boolean avoidsTrial) {
    boolean isOnTrial = unproven && !isActive(nowMs);
    return isOnTrial && avoidsTrial && nowMs < untilMs + TRIAL_MS;
  }

  /** Returns the remaining backoff in milliseconds. */
  long remainingMs(long nowMs) {
    return isActive(nowMs) ? untilMs - nowMs : 0;
  }
}
