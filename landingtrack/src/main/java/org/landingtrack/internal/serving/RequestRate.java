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
 * Moving average of the number of requests in an interval of fixed length. Not thread-safe; used on
 * the event loop.
 */
final class RequestRate {
  /** Weight of the latest interval. */
  private static final double LATEST_WEIGHT = 0.05;

  private long interval;
  private int requests;
  private double mean;

  /** Counts a request in an interval; intervals are numbered in order. */
  void record(long currentInterval) {
    advanceTo(currentInterval);
    requests++;
  }

  /** Returns the mean over the intervals before the given one. */
  double mean(long currentInterval) {
    advanceTo(currentInterval);
    return mean;
  }

  private void advanceTo(long currentInterval) {
    long passed = currentInterval - interval;
    if (passed <= 0) {
      return;
    }
    mean += LATEST_WEIGHT * (requests - mean);
    mean *= Math.pow(1 - LATEST_WEIGHT, (double) passed - 1);
    interval = currentInterval;
    requests = 0;
  }
}
