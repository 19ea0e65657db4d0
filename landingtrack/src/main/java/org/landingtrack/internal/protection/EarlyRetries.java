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
package org.landingtrack.internal.protection;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognizes refused requests that are retried before their retry time. Guards against callers that
 * retry at once and often: without it, routing the same request again and again would take the
 * processor time of other requests. The same request of another caller gets the same decision,
 * until one of the two is served. Bounded; empty while no request is refused.
 */
public final class EarlyRetries {
  private static final int MAX_REQUESTS = 1_024;

  /** Callers honour a retry time only up to their remaining time divided by this. */
  private static final int MAX_WAIT_DIVISOR = 3;

  /**
   * Share of the retry time after which a retry no longer counts as early, since the timers and the
   * network latency of callers vary.
   */
  private static final double MIN_WAIT_SHARE = 0.8;

  /**
   * Early retries that are routed as usual; a single one may be accidental, further ones are not.
   */
  private static final int ALLOWED_EARLY_RETRIES = 1;

  private final Map<Long, RefusedRequest> refused = new LinkedHashMap<>();

  /** A request that was refused and may be retried. */
  private static final class RefusedRequest {
    private final long untilMs;
    private int earlyRetries;

    RefusedRequest(long untilMs) {
      this.untilMs = untilMs;
    }
  }

  /** Returns true if no refused request is recorded. */
  public boolean isEmpty() {
    return refused.isEmpty();
  }

  /** Returns the number of recorded refused requests. */
  public int size() {
    return refused.size();
  }

  /**
   * Records a refusal. A request that is recorded already keeps its retry time, so that an early
   * retry does not prolong it.
   *
   * @param request key of the request, the same for all retries of its caller
   * @param remainingMs remaining time of the caller
   */
  public void refused(long request, long retryAfterMs, long remainingMs, long nowMs) {
    removeExpired(nowMs);
    long waitMs = Math.min(retryAfterMs, Math.max(0, remainingMs) / MAX_WAIT_DIVISOR);
    long untilMs = nowMs + (long) (waitMs * MIN_WAIT_SHARE);
    if (untilMs <= nowMs) {
      return;
    }
    refused.putIfAbsent(request, new RefusedRequest(untilMs));
    if (refused.size() > MAX_REQUESTS) {
      Iterator<Long> oldest = refused.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Returns the remaining time to the retry time if the request has to be refused again without
   * routing it; 0 if it is to be routed as usual.
   *
   * @param busy true if this VM has no time to route early retries
   */
  public long remainingWaitMs(long request, boolean busy, long nowMs) {
    RefusedRequest known = refused.get(request);
    if (known == null) {
      return 0;
    }
    if (known.untilMs <= nowMs) {
      refused.remove(request);
      return 0;
    }
    known.earlyRetries++;
    return busy || known.earlyRetries > ALLOWED_EARLY_RETRIES ? known.untilMs - nowMs : 0;
  }

  /** Removes a request because there is capacity for it now. */
  public void forget(long request) {
    refused.remove(request);
  }

  /**
   * Removes expired requests at the head of the insertion order. Retry times differ, so some
   * expired requests may stay behind one that has not expired, up to the bound.
   */
  private void removeExpired(long nowMs) {
    Iterator<RefusedRequest> oldest = refused.values().iterator();
    while (oldest.hasNext() && oldest.next().untilMs <= nowMs) {
      oldest.remove();
    }
  }
}
