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
package org.landingtrack.internal.overload;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.loads.Tally;
import org.landingtrack.internal.overload.AdmissionDecision.Cause;

/**
 * Admits requests or refuses them when they arrive, by the same rule at all VMs. Each VM measures
 * its own demand and receives the sums of the other VMs; a VM that receives none decides by its own
 * measurements. Not thread-safe.
 */
public final class FleetAdmission {
  /**
   * Time between two updates of the admitted shares. Other VMs report once in each round of load
   * reports; half of that takes this VM's own measurements in between as well.
   */
  private static final long UPDATE_MS = PeerLoads.ROUND_MS / 2;

  /** Shortest time between two notifications about a changed share during an overload. */
  private static final long NOTIFY_INTERVAL_MS = 1_000;

  /** Smallest change of the share that is notified during an overload. */
  private static final double NOTIFY_CHANGE = 0.1;

  private final Ticker ticker;
  private final long salt;
  private final ServiceLoad view;
  private final Listener listener;
  private final Map<String, ServiceAdmission> services = new HashMap<>();
  private final Map<Cause, Long> refusals = new EnumMap<>(Cause.class);
  private final Map<String, Notification> lastNotified = new HashMap<>();
  private Supplier<Map<Long, Tally>> peerTallies = Map::of;

  /** The state of a service at the last notification. */
  private record Notification(boolean isOverloaded, double share, long atMs) {}

  /** Is notified of overloads. */
  public interface Listener {
    /**
     * Notifies that an overload of a service begins or ends, or that the admitted share changes
     * during one.
     *
     * @param service the name of the service
     * @param isOverloaded true while the service is overloaded
     * @param leastShare the admitted share of the least urgent rank
     * @param reason the measured values that the share is computed from
     */
    void changed(String service, boolean isOverloaded, double leastShare, String reason);
  }

  /**
   * Creates an admission control that admits all requests.
   *
   * @param ticker the clock
   * @param salt a value that differs from VM to VM and from start to start
   * @param view the load of this VM's services
   * @param listener is notified of overloads
   */
  public FleetAdmission(Ticker ticker, long salt, ServiceLoad view, Listener listener) {
    this.ticker = ticker;
    this.salt = salt;
    this.view = view;
    this.listener = listener;
  }

  /** Sets the source of the other VMs' sums, by the keys of {@link #tallies}. */
  public void peerTallies(Supplier<Map<Long, Tally>> sums) {
    peerTallies = sums;
  }

  /** Returns the counts of this VM for the load reports to other VMs. */
  public List<Tally> tallies() {
    List<Tally> all = new ArrayList<>();
    long now = ticker.millis();
    services.forEach(
        (name, service) -> {
          update(name, service, now);
          all.addAll(service.tallies(now));
        });
    return all;
  }

  private ServiceAdmission service(String name) {
    return services.computeIfAbsent(name, key -> new ServiceAdmission(key, view));
  }

  /** Counts a request that has arrived and decides whether it is admitted. */
  public AdmissionDecision decide(AdmissionRequest request) {
    long now = ticker.millis();
    ServiceAdmission service = service(request.service());
    update(request.service(), service, now);
    long hash = Hashes.combine(salt, Hashes.placement(request.id()));
    double draw = Hashes.toUnitInterval(hash);
    AdmissionDecision verdict = service.decide(request, draw, now);
    if (!verdict.isAdmitted()) {
      refusals.merge(verdict.cause(), 1L, Long::sum);
    }
    return verdict;
  }

  /**
   * Counts a request that a server has started.
   *
   * @param service the name of the service
   * @param size the cost of the request, as in {@link AdmissionRequest#size}
   */
  public void recordStart(String service, long size) {
    service(service).recordStart(size, ticker.millis());
  }

  private void update(String name, ServiceAdmission service, long now) {
    if (now - service.updatedAtMs() < UPDATE_MS) {
      return;
    }
    service.update(peerTallies.get(), now);
    Notification last = lastNotified.get(name);
    boolean wasShort = last != null && last.isOverloaded;
    boolean differs =
        last != null
            && now - last.atMs >= NOTIFY_INTERVAL_MS
            && Math.abs(last.share - service.leastAdmittedShare()) >= NOTIFY_CHANGE;
    if (wasShort != service.isOverloaded() || (service.isOverloaded() && differs)) {
      lastNotified.put(
          name, new Notification(service.isOverloaded(), service.leastAdmittedShare(), now));
      listener.changed(
          name, service.isOverloaded(), service.leastAdmittedShare(), service.describe());
    }
  }

  /** Returns how many requests were refused for a cause. */
  public long refusals(Cause cause) {
    return refusals.getOrDefault(cause, 0L);
  }

  /** Returns the smallest admitted share over all services; 1 without overload. */
  public double leastAdmittedShare() {
    double least = 1;
    for (ServiceAdmission service : services.values()) {
      least = Math.min(least, service.leastAdmittedShare());
    }
    return least;
  }
}
