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

import java.util.IdentityHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Estimates how quickly an engine answers this VM: the prefill time per token, and the lag, by
 * which its first events come later than expected. The lag has a cause that this VM does not see,
 * such as other requests, a saturated link or a silent engine, so the next request is expected to
 * be late as well. Not thread-safe; used on the event loop.
 */
final class EngineTiming {
  /** Prefill time per token assumed before the first sample: that of a fast current engine. */
  static final double PRIOR_MS_PER_TOKEN = 0.02;

  /** Maximum factor by which the estimate differs from the prior, in both directions. */
  private static final double MAX_FACTOR = 10;

  /** Minimum tokens of a sample; shorter prefills say little about the time per token. */
  private static final int MIN_SAMPLE_TOKENS = 500;

  /** Weight of a sample below the estimate: nothing makes an engine appear faster than it is. */
  private static final double QUICKER_WEIGHT = 0.3;

  /** Weight of a sample above the estimate: other requests may have delayed it. */
  private static final double SLOWER_WEIGHT = 0.05;

  /** Weight of the latest answer in the lag. */
  private static final double LAG_WEIGHT = 0.5;

  /** Half-life of the lag in milliseconds. */
  private static final double LAG_HALF_LIFE_MS = 1_000;

  private final IdentityHashMap<Object, SentRequest> awaitingFirstEvent = new IdentityHashMap<>();
  private double msPerToken = PRIOR_MS_PER_TOKEN;
  private double lagMs;
  private long lagAtMs;

  /**
   * A request that awaits its first event.
   *
   * @param atMs when it was sent
   * @param expectedMs expected time to the first event
   * @param prefillTokens tokens that the engine has to prefill
   * @param fixedMs the part of the expected time that is not prefill
   * @param engineIdle true if the engine had no other work that this VM knew of
   */
  private record SentRequest(
      long atMs, double expectedMs, int prefillTokens, double fixedMs, boolean engineIdle) {
    double overdueMs(long nowMs) {
      return nowMs - atMs - expectedMs;
    }
  }

  /** Returns the timing for the engine after a restart: only the speed of its machine remains. */
  EngineTiming afterRestart() {
    EngineTiming next = new EngineTiming();
    next.msPerToken = msPerToken;
    return next;
  }

  /**
   * Records a request that was sent.
   *
   * @param request compared by identity only
   * @param expectedMs expected time to the first event, in milliseconds
   * @param readTokens tokens that the engine has to prefill
   * @param fixedMs the part of the expected time that is not prefill
   * @param alone true if the engine has no other work that this VM knows of
   */
  void recordSend(
      Object request,
      double expectedMs,
      int readTokens,
      double fixedMs,
      boolean alone,
      long nowMs) {
    awaitingFirstEvent.put(request, new SentRequest(nowMs, expectedMs, readTokens, fixedMs, alone));
  }

  /** Records the first event of a request. */
  void recordFirstEvent(Object request, long nowMs) {
    SentRequest sent = awaitingFirstEvent.remove(request);
    if (sent == null) {
      return;
    }
    double delayMs = Math.max(0, sent.overdueMs(nowMs));
    lagMs = (1 - LAG_WEIGHT) * decayedLagMs(nowMs) + LAG_WEIGHT * delayMs;
    lagAtMs = nowMs;
    if (sent.engineIdle && sent.prefillTokens >= MIN_SAMPLE_TOKENS) {
      addSample((nowMs - sent.atMs - sent.fixedMs) / sent.prefillTokens);
    }
  }

  private void addSample(double sample) {
    double weight = sample < msPerToken ? QUICKER_WEIGHT : SLOWER_WEIGHT;
    double next = msPerToken + weight * (sample - msPerToken);
    msPerToken =
        Math.max(PRIOR_MS_PER_TOKEN / MAX_FACTOR, Math.min(PRIOR_MS_PER_TOKEN * MAX_FACTOR, next));
  }

  /** Records the end of a request; if it had no first event, its delay counts in full. */
  void recordEnd(Object request, long nowMs) {
    @Nullable SentRequest sent = awaitingFirstEvent.remove(request);
    if (sent != null) {
      lagMs = Math.max(decayedLagMs(nowMs), sent.overdueMs(nowMs));
      lagAtMs = nowMs;
    }
  }

  /** Returns the prefill time per token of the idle engine, in milliseconds. */
  double msPerToken() {
    return msPerToken;
  }

  /** Returns the expected delay of the next first event beyond the known work, in ms. */
  double lagMs(long nowMs) {
    double lag = decayedLagMs(nowMs);
    // Iterating over an empty IdentityHashMap would scan its whole table.
    if (awaitingFirstEvent.isEmpty()) {
      return lag;
    }
    for (SentRequest sent : awaitingFirstEvent.values()) {
      lag = Math.max(lag, sent.overdueMs(nowMs));
    }
    return lag;
  }

  private double decayedLagMs(long nowMs) {
    return lagMs == 0 ? 0 : lagMs * Math.pow(0.5, (nowMs - lagAtMs) / LAG_HALF_LIFE_MS);
  }
}
