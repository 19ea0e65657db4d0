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
package org.landingtrack.internal.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.landingtrack.internal.admission.ConcurrencyLimit;
import org.landingtrack.internal.admission.FairQueue;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Catalog.NamedBackendServer;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.kept.LinkBudget;

/**
 * What a gateway keeps for each service: its queue, its retry budget and its share of the links.
 * Services do not share any of it, so that trouble of one leaves the others alone. Thread-safe.
 */
public final class ServiceGates {
  /** Requests let through for each place in the engines' batches, so that batches stay full. */
  private static final double OVERCOMMIT = 1.25;

  private final Supplier<Catalog> catalog;
  private final Ticker ticker;
  private final Map<String, Gate> gates = new ConcurrentHashMap<>();
  private volatile int gateways = 1;

  public ServiceGates(Supplier<Catalog> catalog, Ticker ticker) {
    this.catalog = catalog;
    this.ticker = ticker;
  }

  /** What belongs to one service. */
  public record Gate(
      FairQueue queue,
      ConcurrencyLimit limit,
      RetryBudget retries,
      LinkBudget links,
      int maxQueue) {}

  /** Sets how many gateways share the services. */
  public void sharedBy(int liveGateways) {
    gateways = Math.max(1, liveGateways);
  }

  /** Returns how many gateways share the services. */
  public int gateways() {
    return gateways;
  }

  /**
   * Returns how many requests of a gate wait for each backend server's worth of this gateway's
   * share: each millisecond of work at a server delays so many requests by as much.
   */
  public double pressure(Gate gate, int servers) {
    return servers == 0 ? 0 : (double) gate.queue().waiting() * gateways / servers;
  }

  /** Returns the gate of a service. */
  public Gate gate(String name, Service service) {
    return gates.compute(
        name,
        (n, known) ->
            known != null && known.maxQueue == service.maxQueue()
                ? known
                : newGate(name, service.maxQueue()));
  }

  private Gate newGate(String name, int maxQueue) {
    ConcurrencyLimit limit = new ConcurrencyLimit();
    return new Gate(
        new FairQueue(ticker, () -> slots(name, limit), maxQueue),
        limit,
        new RetryBudget(),
        new LinkBudget(ticker),
        maxQueue);
  }

  /** What a service's gate holds now. */
  public record State(String service, int running, int waiting, int limit) {}

  /** Returns the state of every gate. */
  public List<State> state() {
    List<State> states = new ArrayList<>();
    gates.forEach(
        (name, gate) ->
            states.add(
                new State(
                    name, gate.queue.running(), gate.queue.waiting(), slots(name, gate.limit))));
    return states;
  }

  /** At least one request for each server's worth of this gateway's share, at most all places. */
  private int slots(String service, ConcurrencyLimit limit) {
    double places = 0;
    int servers = 0;
    for (NamedBackendServer server : catalog.get().servers(service)) {
      if (!server.spec().draining()) {
        places += server.spec().maxConcurrent();
        servers++;
      }
    }
    int most = (int) Math.max(1, Math.ceil(places * OVERCOMMIT / gateways));
    int least = Math.max(1, servers / gateways);
    return limit.between(Math.min(least, most), most);
  }
}
