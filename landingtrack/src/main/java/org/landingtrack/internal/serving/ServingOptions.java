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

import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.retry.RetryBudgetPolicy;

/**
 * Options for serving requests on this VM. Immutable.
 *
 * @param dataCentre the data centre of this VM
 * @param retryPercent the retries allowed to a service for each hundred requests
 * @param oldWeightsGraceMs the time after new weights were published, in milliseconds, in which
 *     servers with older ones may still be used
 * @param regions the region of each data centre
 * @param coldOvershoot the factor by which a cold server may exceed its configured rate within a
 *     single second
 * @param coldTolerance the number of requests that a cold server may get in a second on top of that
 * @param salt a random seed that differs between VMs and between starts of a VM
 * @param retryTerms the terms of the retry budget that all VMs share, or null if each VM has its
 *     own
 * @param disabledMechanisms the mechanisms that operators switched off
 */
public record ServingOptions(
    String dataCentre,
    double retryPercent,
    long oldWeightsGraceMs,
    Map<String, String> regions,
    double coldOvershoot,
    double coldTolerance,
    long salt,
    @Nullable RetryBudgetPolicy retryTerms,
    Set<Mechanism> disabledMechanisms) {
  public ServingOptions {
    regions = Map.copyOf(regions);
    disabledMechanisms = Set.copyOf(disabledMechanisms);
  }

  /** Creates options with all mechanisms on and a retry budget per VM. */
  public ServingOptions(
      String dataCentre,
      double retryPercent,
      long oldWeightsMs,
      Map<String, String> regions,
      double coldOvershoot,
      double coldTolerance,
      long salt) {
    this(
        dataCentre,
        retryPercent,
        oldWeightsMs,
        regions,
        coldOvershoot,
        coldTolerance,
        salt,
        null,
        Set.of());
  }

  /** Creates options without regions, where cold servers get no more than their configured rate. */
  public ServingOptions(String dataCentre, double retryPercent, long oldWeightsMs) {
    this(dataCentre, retryPercent, oldWeightsMs, Map.of(), 1, 0, 0);
  }

  /** Returns true unless operators switched the mechanism off. */
  public boolean isEnabled(Mechanism mechanism) {
    return !disabledMechanisms.contains(mechanism);
  }
}
