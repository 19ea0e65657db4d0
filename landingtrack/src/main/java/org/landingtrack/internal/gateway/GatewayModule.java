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
package org.landingtrack.internal.gateway;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.landingtrack.internal.admission.TeamLimiter;
import org.landingtrack.internal.base.Metrics;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.caller.CallerApi;
import org.landingtrack.internal.caller.InFlightRequests;
import org.landingtrack.internal.caller.RequestIdGenerator;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.dispatch.ClaimRegistry;
import org.landingtrack.internal.dispatch.ModelDispatcher;
import org.landingtrack.internal.dispatch.PlainDispatcher;
import org.landingtrack.internal.dispatch.ServiceLimiters;
import org.landingtrack.internal.engine.BackendClient;
import org.landingtrack.internal.engine.HttpBackendClient;
import org.landingtrack.internal.explain.ExplanationStore;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.routing.BaselinePolicies;
import org.landingtrack.internal.routing.CostPolicy;
import org.landingtrack.internal.routing.RoutingPolicy;
import org.landingtrack.internal.routing.ServerTable;
import org.landingtrack.internal.settings.GatewaySettings;

/** Provides the objects that only gateways have. */
@Module
final class GatewayModule {
  private static final int MAX_EXPLANATIONS = 5_000;

  private final GatewaySettings settings;

  GatewayModule(GatewaySettings settings) {
    this.settings = settings;
  }

  @Provides
  @Singleton
  ExplanationStore explanationStore() {
    return new ExplanationStore(MAX_EXPLANATIONS);
  }

  @Provides
  @Singleton
  ControllerLink controllerLink(
      PeerClient peers, ConfigReplica replica, ExplanationStore explanationStore) {
    return new ControllerLink(
        settings.vm(),
        settings.dataCentre(),
        settings.controllers(),
        peers,
        replica,
        explanationStore);
  }

  @Provides
  @Singleton
  ServerTable serverTable() {
    return new ServerTable();
  }

  @Provides
  @Singleton
  ServiceLimiters serviceLimiters(Supplier<Catalog> catalog, Ticker ticker) {
    return new ServiceLimiters(catalog, ticker);
  }

  @Provides
  @Singleton
  TeamLimiter teamLimiter(Ticker ticker) {
    return new TeamLimiter(ticker);
  }

  @Provides
  @Singleton
  BackendClient backendClient(Ticker ticker) {
    return new HttpBackendClient(ticker);
  }

  @Provides
  @Singleton
  ClaimRegistry claimRegistry(ControllerLink link, PeerClient peers) {
    return new RemoteClaimRegistry(link, peers);
  }

  @Provides
  @Singleton
  RoutingPolicy routingPolicy() {
    return switch (settings.routingPolicy()) {
      case "round-robin" -> BaselinePolicies.roundRobin();
      case "least-loaded" -> BaselinePolicies.leastLoaded();
      case "prefix-hash" -> BaselinePolicies.prefixHash();
      default -> costPolicy(settings.routingSeed());
    };
  }

  /**
   * Returns a cost policy with one random generator for each thread. The generators are split, as
   * threads first use them, from one with this seed; 0 means a random seed.
   */
  private static RoutingPolicy costPolicy(long seed) {
    SplittableRandom root = seed == 0 ? new SplittableRandom() : new SplittableRandom(seed);
    ThreadLocal<RandomGenerator> generators =
        ThreadLocal.withInitial(
            () -> {
              synchronized (root) {
                return root.split();
              }
            });
    return new CostPolicy(generators::get);
  }

  @Provides
  @Singleton
  ModelDispatcher modelDispatcher(
      Supplier<Catalog> catalog,
      ServerTable serverTable,
      ServiceLimiters limiters,
      BackendClient backendClient,
      RoutingPolicy routingPolicy,
      ControllerLink link,
      PeerClient peers,
      ClaimRegistry claimRegistry,
      Ticker ticker) {
    return new ModelDispatcher.Builder(catalog, serverTable, limiters, backendClient, routingPolicy)
        .setHolders(new RemoteHolderLookup(link, peers, ticker))
        .setClaims(claimRegistry)
        .setTicker(ticker)
        .setDataCentre(settings.dataCentre())
        .build();
  }

  @Provides
  @Singleton
  PlainDispatcher plainDispatcher(
      Supplier<Catalog> catalog,
      ServerTable serverTable,
      ServiceLimiters limiters,
      BackendClient backendClient,
      ClaimRegistry claimRegistry,
      Ticker ticker) {
    return new PlainDispatcher(
        catalog, serverTable, limiters, backendClient, claimRegistry, ticker);
  }

  @Provides
  @Singleton
  InFlightRequests inFlight() {
    return new InFlightRequests(settings.maxConcurrentRequests());
  }

  @Provides
  @Singleton
  CallerApi callerApi(
      Supplier<Catalog> catalog,
      ControllerLink link,
      TeamLimiter teamLimiter,
      ModelDispatcher modelDispatcher,
      PlainDispatcher plainDispatcher,
      ExplanationStore explanationStore,
      InFlightRequests inFlight,
      Ticker ticker,
      Metrics metrics) {
    return new CallerApi(
        catalog,
        link::isReady,
        teamLimiter,
        modelDispatcher,
        plainDispatcher,
        explanationStore,
        new RequestIdGenerator(settings.vm()),
        new CallerApi.CallerLimits(
            settings.maxBodyBytes(), settings.bodyTimeoutMs(), settings.defaultDeadlineMs()),
        inFlight,
        ticker,
        metrics);
  }
}
