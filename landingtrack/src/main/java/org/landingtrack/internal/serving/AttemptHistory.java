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

import java.util.HashSet;
import java.util.Set;
import org.landingtrack.internal.serving.Route.RetryMode;

/**
 * The attempts of one request so far: at which servers, and whether any of these may have run it. A
 * request that may have run is retried only if the route allows it. Used on the event loop only.
 */
final class AttemptHistory {
  /** Failed connects after which a request is refused. They do not count as attempts. */
  private static final int MAX_CONNECT_FAILURES = 3;

  /** The least time until the deadline that is worth another attempt. */
  static final long MIN_ATTEMPT_MS = 20;

  /** Rejections by full servers after which a stream to continue is not sent to them again. */
  static final int MAX_REJECTIONS = 4;

  private final Set<String> triedServerIds = new HashSet<>();
  private int attempts;
  private int connectFailures;
  private int rejections;
  private boolean inDoubt;

  /**
   * Returns the ids of the servers at which the request was attempted, failed connects included.
   */
  Set<String> triedServerIds() {
    return triedServerIds;
  }

  /** Records an attempt; returns the number of attempts including this one. */
  int recordAttempt(String serverId) {
    triedServerIds.add(serverId);
    return ++attempts;
  }

  /** Records that the last attempt could not connect; returns true if another may be made. */
  boolean recordConnectFailure() {
    attempts--;
    connectFailures++;
    return connectFailures <= MAX_CONNECT_FAILURES;
  }

  /** Records that the last attempt was recalled before anything was sent. */
  void recordRecall(String serverId) {
    attempts--;
    triedServerIds.remove(serverId);
  }

  /**
   * Records that a full server rejected the last attempt of a stream to continue; returns true if
   * the stream may be sent to it again.
   */
  boolean recordRejection(String serverId) {
    rejections++;
    if (rejections > MAX_REJECTIONS) {
      return false;
    }
    recordRecall(serverId);
    return true;
  }

  /** Records that the last attempt may have run, or may still run. */
  void markInDoubt() {
    inDoubt = true;
  }

  /** Returns true if any attempt may have run. */
  boolean inDoubt() {
    return inDoubt;
  }

  /** Returns true if the route allows one more attempt after the next, should that not run. */
  boolean hasFurtherAttempt(Route route) {
    return attempts + 1 < route.maxAttempts();
  }

  /** Returns true if the route allows another attempt, and enough time is left for it. */
  boolean mayRetry(Route route, long leftMs) {
    boolean mayRepeat = !inDoubt || route.retryMode() != RetryMode.NEVER;
    return mayRepeat && attempts < route.maxAttempts() && leftMs > MIN_ATTEMPT_MS;
  }
}
