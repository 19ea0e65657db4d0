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
package org.landingtrack.internal.retry;

/**
 * Computes how much of the remaining retry budget of all VMs one VM may use in a time slot.
 * Stateless.
 *
 * <p>Handles two cases: a server fails and all VMs want to retry at the same moment, before they
 * learn of each other's retries; or a single VM wants to retry and the others have no need.
 */
final class RetryAllocation {
  /**
   * Length of a slot. All VMs learn of a retry within 0.4 s, so that at most two slots end before
   * they know of it.
   */
  static final long SLOT_MS = 600;

  /**
   * Share of the remaining budget that all VMs together may use in one slot, so that the retries of
   * two slots fit into it.
   */
  private static final double SLOT_SHARE = 0.45;

  /**
   * Usable share of the budget. The rest covers repeated calls of runs, which no VM can tell from
   * other requests.
   */
  private static final double USABLE_SHARE = 0.9;

  /**
   * Demand in retries a second that is assumed of a VM without any, so that it can send its first
   * retry at once.
   */
  private static final double FLOOR_NEED = 0.5;

  private RetryAllocation() {}

  /**
   * What is known of a service.
   *
   * @param requests the requests in the window, of the VMs that report
   * @param spent the retries that all VMs may have sent in the window
   * @param ownDemand the retries a second that this VM wants, as known to the others
   * @param totalDemand the retries a second that all VMs want
   * @param heard the number of VMs that report, including this one
   * @param vms an upper bound of the number of VMs
   */
  record BudgetView(
      double requests, double spent, double ownDemand, double totalDemand, int heard, int vms) {}

  /** Returns the mean number of retries that this VM may send in one slot. */
  static double allowance(RetryBudgetPolicy terms, BudgetView view) {
    double partOfExtra = Math.min(1, (double) view.heard() / view.vms());
    double budget =
        USABLE_SHARE * (terms.retriesPerRequest() * view.requests() + terms.extra() * partOfExtra);
    double remaining = budget - view.spent() - Math.sqrt(view.heard());
    double need = view.ownDemand() + FLOOR_NEED;
    double all = Math.max(need, view.totalDemand() + FLOOR_NEED * view.heard());
    return Math.max(0, remaining) * SLOT_SHARE * need / all;
  }
}
