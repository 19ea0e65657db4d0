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

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates of the median time that answers to each kind of request take on this VM. A few slow
 * servers hardly move a median. Not thread-safe.
 */
final class MedianLatencies {
  /** Number of samples from which on the estimate is used. */
  private static final int MIN_SAMPLES = 8;

  /**
   * Factor by which each sample moves the estimate up or down. If the times grow fourfold, the
   * estimate reaches them after 28 samples.
   */
  private static final double STEP = 1.05;

  /**
   * Maximum number of kinds. Kinds are routes; the limit bounds the memory if the configuration
   * renames routes all the time.
   */
  private static final int MAX_KINDS = 2_000;

  private final Map<String, Median> medians = new HashMap<>();

  /** Running estimate of a median. */
  private static final class Median {
    private double value;
    private int samples;

    void add(double sample) {
      if (samples == 0) {
        value = sample;
      }
      samples = Math.min(MIN_SAMPLES, samples + 1);
      value = sample > value ? value * STEP : value / STEP;
    }
  }

  /** Adds a sample: the time that an answer took per unit of work. */
  void add(String kind, double msPerUnit) {
    if (medians.size() >= MAX_KINDS && !medians.containsKey(kind)) {
      medians.clear();
    }
    medians.computeIfAbsent(kind, name -> new Median()).add(Math.max(Double.MIN_NORMAL, msPerUnit));
  }

  /** Returns the median time per unit of work, in milliseconds, or 0 if it is not known yet. */
  double msPerUnit(String kind) {
    Median median = medians.get(kind);
    return median == null || median.samples < MIN_SAMPLES ? 0 : median.value;
  }
}
