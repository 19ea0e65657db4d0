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
 * Holds the limiters of each service at this gateway: queue, concurrency limit, retry budget and
 * link budget. Each service has its own, so that a failing or overloaded service does not affect
 * the others. Thread-safe.
 */
public final class ServiceLimiters {
  /** Requests admitted per slot in the engines' batches; above 1 so that batches stay full. */
  private static final double OVERCOMMIT_FACTOR = 1.25;

  private final Supplier<Catalog> catalog;
  private final Ticker ticker;
  private final Map<String, Limiters> limitersByService = new ConcurrentHashMap<>();
  private volatile int gatewayCount = 1;

  public ServiceLimiters(Supplier<Catalog> catalog, Ticker ticker) {
    this.catalog = catalog;
    this.ticker = ticker;
  }

  /**
   * The limiters of one service.
   *
   * @param queue admits waiting requests in fair order
   * @param limit limits the requests in flight by the waits seen at the backend servers
   * @param retries limits retries
   * @param links limits the bytes restored from store VMs
   * @param maxQueue maximum length of the queue
   */
  public record Limiters(
      FairQueue queue,
      ConcurrencyLimit limit,
      RetryBudget retries,
      LinkBudget links,
      int maxQueue) {}

  /** Sets the number of live gateways that share the services. */
  public void setGatewayCount(int liveGateways) {
    gatewayCount = Math.max(1, liveGateways);
  }

  /** Returns the number of gateways that share the services, at least 1. */
  public int gatewayCount() {
    return gatewayCount;
  }

  /**
   * Returns the number of queued requests per backend server, where this gateway's share of a
   * server is 1 / {@link #gatewayCount()}. Each millisecond of work at a server delays that many
   * requests by a millisecond.
   */
  public double waitingPerServer(Limiters limiters, int servers) {
    return servers == 0 ? 0 : (double) limiters.queue().waiting() * gatewayCount / servers;
  }

  /**
   * Returns the limiters of a service. Creates them for a new service or if its maximum queue
   * length changed.
   */
  public Limiters limiters(String name, Service service) {
    return limitersByService.compute(
        name,
        (key, existing) ->
            existing != null && existing.maxQueue == service.maxQueue()
                ? existing
                : createLimiters(name, service.maxQueue()));
  }

  private Limiters createLimiters(String name, int maxQueue) {
    ConcurrencyLimit limit = new ConcurrencyLimit();
    return new Limiters(
        new FairQueue(ticker, () -> concurrencyLimit(name, limit), maxQueue),
        limit,
        new RetryBudget(),
        new LinkBudget(ticker),
        maxQueue);
  }

  /**
   * The current load of one service at this gateway.
   *
   * @param running requests that were admitted and have not ended
   * @param waiting requests in the queue
   * @param limit requests that may run at once
   */
  public record QueueState(String service, int running, int waiting, int limit) {}

  /** Returns the current load of every service that had a request. */
  public List<QueueState> queueStates() {
    List<QueueState> loads = new ArrayList<>();
    limitersByService.forEach(
        (name, limiters) ->
            loads.add(
                new QueueState(
                    name,
                    limiters.queue.running(),
                    limiters.queue.waiting(),
                    concurrencyLimit(name, limiters.limit))));
    return loads;
  }

  /**
   * Returns the number of requests that may run at once: at least one per server and at most all
   * batch slots with overcommit, both divided by the number of gateways. Draining servers do not
   * count.
   */
  private int concurrencyLimit(String service, ConcurrencyLimit limit) {
    double batchSlots = 0;
    int servers = 0;
    for (NamedBackendServer server : catalog.get().servers(service)) {
      if (!server.spec().draining()) {
        batchSlots += server.spec().maxConcurrent();
        servers++;
      }
    }
    int max = (int) Math.max(1, Math.ceil(batchSlots * OVERCOMMIT_FACTOR / gatewayCount));
    int min = Math.max(1, servers / gatewayCount);
    return limit.boundedLimit(Math.min(min, max), max);
  }
}
