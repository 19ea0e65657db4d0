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
package org.landingtrack.internal.health;

/**
 * Expected work of a request at the server to which it is sent. Its answer time is rated in
 * relation to this work.
 *
 * @param service hash of the service's name
 * @param incarnation hash of the server's incarnation
 * @param kind name of a group of similar requests, whose times are compared with each other
 * @param units expected work, including that of requests ahead of it, in any unit that is the same
 *     for all requests of the kind
 * @param targetLatencyMs target latency: time within which callers want an answer, or its first
 *     event
 */
public record ExpectedWork(
    long service, long incarnation, String kind, double units, long targetLatencyMs) {
  /** A request is slow only if it takes this many times as long as usual. */
  private static final double SLOW_FACTOR = 4;

  /**
   * A request is slow only if it takes this share of the target longer than usual, which callers
   * notice.
   */
  private static final double MIN_SLOW_TARGET_SHARE = 0.25;

  /**
   * Returns true if a request has been waiting for so long that it counts as failed: its target is
   * missed, and the server is the cause.
   *
   * @param usualMsPerUnit usual time per unit of work, or 0 if it is not known; then only twice the
   *     target counts
   */
  boolean isOverdue(long elapsedMs, double usualMsPerUnit) {
    return usualMsPerUnit == 0
        ? elapsedMs > 2 * targetLatencyMs
        : elapsedMs > targetLatencyMs && isSlow(elapsedMs, usualMsPerUnit);
  }

  /**
   * Returns true if an answer was slow, or a request has already been waiting for too long.
   *
   * @param usualMsPerUnit usual time per unit of work, or 0 if it is not known; then the target is
   *     the limit
   */
  boolean isSlow(long elapsedMs, double usualMsPerUnit) {
    if (usualMsPerUnit == 0) {
      return elapsedMs > targetLatencyMs;
    }
    double usualMs = usualMsPerUnit * units;
    return elapsedMs > SLOW_FACTOR * usualMs
        && elapsedMs > usualMs + MIN_SLOW_TARGET_SHARE * targetLatencyMs;
  }
}
