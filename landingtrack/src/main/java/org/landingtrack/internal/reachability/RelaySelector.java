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
package org.landingtrack.internal.reachability;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.GossipMessage.Vm;

/**
 * Selects the VM that relays connections to backend servers which this VM does not reach. The VM
 * that accepted last is selected again; otherwise the nearest ones are tried in random order, so
 * that the VMs of a partitioned data centre spread over the others. Not thread-safe.
 */
public final class RelaySelector {
  /** How long a VM that declined is not asked again. */
  static final long DECLINED_MS = 1_000;

  private final Ticker ticker;
  private final Supplier<List<Vm>> vms;
  private final ToIntFunction<Vm> distance;
  private final Random random;
  private final Map<String, Long> declinedAtMs = new HashMap<>();
  private @Nullable String lastAccepted;

  /**
   * Creates a selector.
   *
   * @param vms supplies the other VMs that were active recently
   * @param distance rates how far away a VM is; a lower value is nearer
   */
  public RelaySelector(
      Ticker ticker, Supplier<List<Vm>> vms, ToIntFunction<Vm> distance, Random random) {
    this.ticker = ticker;
    this.vms = vms;
    this.distance = distance;
    this.random = random;
  }

  /** Returns true if there is any other VM. */
  public boolean hasCandidates() {
    return !vms.get().isEmpty();
  }

  /** Returns the address of the next VM to ask, or null if there is none. */
  public @Nullable String next(Set<String> asked) {
    long now = ticker.millis();
    declinedAtMs.values().removeIf(at -> now - at >= DECLINED_MS);
    String last = lastAccepted;
    if (last != null && isEligible(last, asked)) {
      return last;
    }
    List<Vm> candidates = new ArrayList<>(vms.get());
    Collections.shuffle(candidates, random);
    candidates.sort(Comparator.comparingInt(distance));
    for (Vm vm : candidates) {
      if (isEligible(vm.address(), asked)) {
        return vm.address();
      }
    }
    return null;
  }

  private boolean isEligible(String address, Set<String> asked) {
    return !asked.contains(address) && !declinedAtMs.containsKey(address);
  }

  /** Records that a VM relayed a connection. */
  public void onAccepted(String address) {
    lastAccepted = address;
    declinedAtMs.remove(address);
  }

  /** Records that a VM could not relay a connection or did not answer. */
  public void onDeclined(String address) {
    declinedAtMs.put(address, ticker.millis());
    if (address.equals(lastAccepted)) {
      lastAccepted = null;
    }
  }
}
