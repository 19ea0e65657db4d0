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

import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Model;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.catalog.WeightVersion;
import org.landingtrack.internal.kept.LinkBudget;
import org.landingtrack.internal.prefix.PrefixChain;
import org.landingtrack.internal.routing.RouteQuery;

/** Creates the input of the routing decision for one request. Used by the request's thread. */
final class RouteQueryFactory {
  /** Estimated time of a restore apart from the transfer of its bytes. */
  private static final double RESTORE_OVERHEAD_MS = 3;

  /** Used if the catalog does not have the weight version or its model. */
  private static final int DEFAULT_KV_BYTES_PER_TOKEN = 1_000;

  private final ModelDispatcher dispatcher;
  private final ModelRequest request;
  private final ServiceLimiters.Limiters limiters;

  RouteQueryFactory(
      ModelDispatcher dispatcher, ModelRequest request, ServiceLimiters.Limiters limiters) {
    this.dispatcher = dispatcher;
    this.request = request;
    this.limiters = limiters;
  }

  /** Returns the query for the candidate servers of one weight version. */
  RouteQuery createQuery(Catalog catalog, PrefixChain chain, VersionSelection selection) {
    Service service = request.service();
    RouteQuery.CostWeights weights =
        new RouteQuery.CostWeights(
            service.weightTtft(), service.weightRecompute(), service.weightLink());
    return new RouteQuery(
        chain,
        selection.servers(),
        dispatcher.holders.holders(request.serviceName(), chain),
        weights,
        linkState(catalog, selection.version()),
        dispatcher.serviceLimiters.waitingPerServer(limiters, selection.servers().size()),
        dispatcher.dataCentre,
        dispatcher.ticker.millis());
  }

  private RouteQuery.LinkState linkState(Catalog catalog, String version) {
    LinkBudget links = limiters.links();
    double bytesPerSecond = linkBytesPerSecond();
    return new RouteQuery.LinkState(
        links.bytesPerMs(),
        links.available(bytesPerSecond),
        links.usedShare(bytesPerSecond),
        kvBytesPerToken(catalog, version),
        RESTORE_OVERHEAD_MS);
  }

  /** Returns this gateway's share of the service's link budget, in bytes per second. */
  double linkBytesPerSecond() {
    return (double) request.service().linkBytesPerSecond()
        / dispatcher.serviceLimiters.gatewayCount();
  }

  private static int kvBytesPerToken(Catalog catalog, String version) {
    return catalog
        .find(Kind.WEIGHT_VERSION, version, WeightVersion.class)
        .flatMap(v -> catalog.find(Kind.MODEL, v.model(), Model.class))
        .map(Model::kvBytesPerToken)
        .orElse(DEFAULT_KV_BYTES_PER_TOKEN);
  }
}
