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

import org.landingtrack.internal.dispatch.RetryBudget;
import org.landingtrack.internal.retry.FleetRetryBudget;

/** The retry budget of one service at this VM. Used on the event loop only. */
interface ServiceRetryLimiter {
  /**
   * Records a first attempt, which adds to the budget.
   *
   * @param percent retries for each 100 requests
   */
  void recordRequest(double percent);

  /** Takes one retry from the budget; returns false if it is used up. */
  boolean tryRetry();

  /** Returns true if at least one retry is left in the budget. */
  boolean hasRetry();

  /** Returns a budget of this VM alone. */
  static ServiceRetryLimiter local(RetryBudget budget) {
    return new ServiceRetryLimiter() {
      @Override
      public void recordRequest(double percent) {
        budget.recordRequest(percent);
      }

      @Override
      public boolean tryRetry() {
        return budget.tryAcquire();
      }

      @Override
      public boolean hasRetry() {
        return budget.hasRetry();
      }
    };
  }

  /** Returns a budget that all VMs share; its own terms replace the percentage. */
  static ServiceRetryLimiter shared(FleetRetryBudget retries, String service) {
    return new ServiceRetryLimiter() {
      @Override
      public void recordRequest(double percent) {
        retries.recordRequest(service);
      }

      @Override
      public boolean tryRetry() {
        return retries.tryRetry(service);
      }

      @Override
      public boolean hasRetry() {
        return retries.hasRetry(service);
      }
    };
  }
}
