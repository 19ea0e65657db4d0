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

import org.landingtrack.internal.serving.ServerChooser.Choice;

/**
 * Decides whether a request is sent to the engine that was chosen, waits at this VM, or is refused.
 * Without memory for it an engine begins a request only when others are over, and until then it can
 * be ordered better here; what cannot be answered in time is refused at once. Pure.
 */
final class EngineAdmission {
  /**
   * A request is not sent to an engine that would begin it later than this: fetches must end within
   * {@link PartStore#BELIEF_MS}, and there they take some hundred milliseconds.
   */
  private static final long MAX_ENGINE_WAIT_MS = 250;

  /** Requests under way may need so much of an engine's memory; the rest keeps parts. */
  static final double MEMORY_SHARE = 0.75;

  /**
   * Likewise for a request that has waited as long as its route's target: small ones that come
   * later would take a large one's place for ever.
   */
  private static final double MAX_MEMORY_SHARE = 1.1;

  /** An engine's answer takes at least about so long. */
  private static final long LEAST_ANSWER_MS = 100;

  /** Callers that are refused together come back spread over this time. */
  private static final long RETRY_SPREAD_MS = 300;

  /** A caller that comes back after more than this part of its time has too little left. */
  private static final int RETRY_LEFT_PARTS = 4;

  private EngineAdmission() {}

  /** What becomes of a request now. */
  enum Verdict {
    SEND,
    WAIT,
    REFUSE
  }

  /**
   * Decides.
   *
   * @param ageMs how long ago the request came
   * @param targetMs within which its answer is in time
   * @param leftMs until its end
   * @param expectedWaitMs the time until an engine would begin it, by what waits here
   */
  static Verdict decide(
      Choice choice, long ageMs, long targetMs, long leftMs, long expectedWaitMs) {
    double waited = Math.min(1, (double) ageMs / Math.max(1, targetMs));
    double share = MEMORY_SHARE + (MAX_MEMORY_SHARE - MEMORY_SHARE) * waited;
    if (choice.waitMs() <= MAX_ENGINE_WAIT_MS && choice.memoryShare() <= share) {
      return Verdict.SEND;
    }
    double answerMs = choice.expectedMs() - choice.waitMs();
    return expectedWaitMs + answerMs > leftMs ? Verdict.REFUSE : Verdict.WAIT;
  }

  /**
   * Returns when a caller that is refused should come back.
   *
   * @param callerHash spreads callers
   */
  static long retryAfterMs(long expectedWaitMs, long leftMs, long callerHash) {
    long spreadMs = Math.floorMod(callerHash, RETRY_SPREAD_MS);
    return Math.min(expectedWaitMs, leftMs / RETRY_LEFT_PARTS) + spreadMs;
  }

  /** Returns true if an answer can come in the time that is left, after a wait. */
  static boolean isInTime(long waitMs, long leftMs) {
    return waitMs < leftMs - LEAST_ANSWER_MS;
  }

  /** Returns true if an answer can no longer come within a route's target. */
  static boolean isLate(long ageMs, long targetMs) {
    return ageMs + LEAST_ANSWER_MS > targetMs;
  }
}
