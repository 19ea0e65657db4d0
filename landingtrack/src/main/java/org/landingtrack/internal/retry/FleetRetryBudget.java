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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.FleetTallies;
import org.landingtrack.internal.loads.Tally;

/**
 * A retry budget for each service that is shared by all VMs. Decides how much of it this VM may
 * use. What it knows of other VMs is some tenths of a second old; without load reports each VM has
 * its own share. Not thread-safe.
 */
public final class FleetRetryBudget {
  private final Ticker ticker;
  private final RetryBudgetPolicy terms;
  private final IntSupplier vms;
  private final long salt;
  private final long startedAtMs;
  private final FleetTallies sums;
  private final Map<String, ServiceRetryBudget> budgets = new HashMap<>();
  private final Map<String, Long> keys = new HashMap<>();

  /**
   * Creates the budgets of a VM that has just started.
   *
   * @param ticker the clock
   * @param terms the size of the budgets
   * @param vms returns an upper bound of the number of VMs
   * @param salt a value that differs from VM to VM
   * @param tally starts to report this VM's counts to the others, and returns the sums
   */
  public FleetRetryBudget(
      Ticker ticker,
      RetryBudgetPolicy terms,
      IntSupplier vms,
      long salt,
      Function<Supplier<List<Tally>>, FleetTallies> tally) {
    this.ticker = ticker;
    this.terms = terms;
    this.vms = vms;
    this.salt = salt;
    this.startedAtMs = ticker.millis();
    this.sums = tally.apply(this::ownTallies);
  }

  private List<Tally> ownTallies() {
    List<Tally> tallies = new ArrayList<>();
    budgets.forEach(
        (service, budget) -> tallies.add(budget.report(others(service), ticker.millis())));
    return tallies;
  }

  private Tally others(String service) {
    return sums.others(keys.computeIfAbsent(service, Hashes::placement));
  }

  private ServiceRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new ServiceRetryBudget(
                Hashes.placement(name), terms, startedAtMs, salt, ticker.millis()));
  }

  /** Counts a request to a service. */
  public void recordRequest(String service) {
    budget(service).recordRequest(ticker.millis());
  }

  /** Takes one retry from a service's budget; returns false if none is available now. */
  public boolean tryRetry(String service) {
    return budget(service).tryRetry(others(service), vms.getAsInt(), ticker.millis());
  }

  /** Returns true if a retry of a service would be granted now. */
  public boolean hasRetry(String service) {
    return budget(service).hasRetry(others(service), vms.getAsInt(), ticker.millis());
  }

  /** Returns how many retries were denied. */
  public long denied() {
    long denied = 0;
    for (ServiceRetryBudget budget : budgets.values()) {
      denied += budget.denied();
    }
    return denied;
  }
}
