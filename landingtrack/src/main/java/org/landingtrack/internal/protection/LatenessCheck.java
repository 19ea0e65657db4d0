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

import org.jspecify.annotations.Nullable;

/**
 * Decides whether an overloaded VM can still answer a request in time. Used when the VM itself is
 * the bottleneck: a request that would be late here can be in time at another VM if its caller goes
 * there at once. All other requests are served.
 */
public final class LatenessCheck {
  /** Iterations of the event loop: one sends the request, one forwards its answer. */
  private static final int LOOP_PASSES = 2;

  /**
   * Iterations that are assumed for requests of the highest priority: they are refused only if they
   * are certainly late, and so after all others. They are not exempt, since a VM that they alone
   * overload would answer all of them late.
   */
  private static final int HIGHEST_PRIORITY_LOOP_PASSES = 1;

  /** Short, since another VM has capacity; long enough to open a connection to it. */
  private static final long RETRY_AFTER_MS = 50;

  private LatenessCheck() {}

  /**
   * Returns the refusal of a request, or null if it is to be served.
   *
   * @param ageMs time since the request arrived
   * @param lagMs lag of this VM's event loop
   * @param targetMs target latency of the answer, counted from the arrival
   * @param deadlineMs time since the arrival after which an answer no longer reaches the caller
   * @param isHighestPriority true if no request has a higher priority
   */
  public static @Nullable Refusal decide(
      long ageMs, double lagMs, long targetMs, long deadlineMs, boolean isHighestPriority) {
    long limitMs = Math.min(targetMs, deadlineMs);
    double minLatencyMs =
        ageMs + (isHighestPriority ? HIGHEST_PRIORITY_LOOP_PASSES : LOOP_PASSES) * lagMs;
    if (minLatencyMs < limitMs) {
      return null;
    }
    String explanation =
        "the event loop of this VM lags by "
            + Math.round(lagMs)
            + " ms: it cannot answer within "
            + limitMs
            + " ms";
    return new Refusal("late", explanation, RETRY_AFTER_MS);
  }
}
