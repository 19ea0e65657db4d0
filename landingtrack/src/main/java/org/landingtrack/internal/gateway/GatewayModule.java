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
import org.landingtrack.internal.caller.InFlight;
import org.landingtrack.internal.caller.RequestIds;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.dispatch.ClaimGate;
import org.landingtrack.internal.dispatch.ModelDispatcher;
import org.landingtrack.internal.dispatch.PlainDispatcher;
import org.landingtrack.internal.dispatch.ServiceGates;
import org.landingtrack.internal.engine.BackendClient;
import org.landingtrack.internal.engine.HttpBackendClient;
import org.landingtrack.internal.explain.Explainer;
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
  Explainer explainer() {
    return new Explainer(MAX_EXPLANATIONS);
  }

  @Provides
  @Singleton
  ControllerLink link(PeerClient peers, ConfigReplica replica, Explainer explanationStore) {
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
  ServerTable servers() {
    return new ServerTable();
  }

  @Provides
  @Singleton
  ServiceGates gates(Supplier<Catalog> catalog, Ticker ticker) {
    return new ServiceGates(catalog, ticker);
  }

  @Provides
  @Singleton
  TeamLimiter limiter(Ticker ticker) {
    return new TeamLimiter(ticker);
  }

  @Provides
  @Singleton
  BackendClient client(Ticker ticker) {
    return new HttpBackendClient(ticker);
  }

  @Provides
  @Singleton
  ClaimGate claims(ControllerLink link, PeerClient peers) {
    return new RemoteClaims(link, peers);
  }

  @Provides
  @Singleton
  RoutingPolicy policy() {
    return switch (settings.policy()) {
      case "round-robin" -> BaselinePolicies.roundRobin();
      case "least-loaded" -> BaselinePolicies.leastLoaded();
      case "prefix-hash" -> BaselinePolicies.prefixHash();
      default -> costPolicy(settings.seed());
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
  ModelDispatcher models(
      Supplier<Catalog> catalog,
      ServerTable serverTable,
      ServiceGates limiters,
      BackendClient backendClient,
      RoutingPolicy routingPolicy,
      ControllerLink link,
      PeerClient peers,
      ClaimGate claimRegistry,
      Ticker ticker) {
    return new ModelDispatcher.Builder(catalog, serverTable, limiters, backendClient, routingPolicy)
        .setHolders(new RemoteHolders(link, peers, ticker))
        .setClaims(claimRegistry)
        .setTicker(ticker)
        .setDataCentre(settings.dataCentre())
        .build();
  }

  @Provides
  @Singleton
  PlainDispatcher plains(
      Supplier<Catalog> catalog,
      ServerTable serverTable,
      ServiceGates limiters,
      BackendClient backendClient,
      ClaimGate claimRegistry,
      Ticker ticker) {
    return new PlainDispatcher(
        catalog, serverTable, limiters, backendClient, claimRegistry, ticker);
  }

  @Provides
  @Singleton
  InFlight inFlight() {
    return new InFlight(settings.maxRequests());
  }

  @Provides
  @Singleton
  CallerApi callerApi(
      Supplier<Catalog> catalog,
      ControllerLink link,
      TeamLimiter teamLimiter,
      ModelDispatcher modelDispatcher,
      PlainDispatcher plainDispatcher,
      Explainer explanationStore,
      InFlight inFlight,
      Ticker ticker,
      Metrics metrics) {
    return new CallerApi(
        catalog,
        link::isReady,
        teamLimiter,
        modelDispatcher,
        plainDispatcher,
        explanationStore,
        new RequestIds(settings.vm()),
        new CallerApi.CallerLimits(
            settings.maxBodyBytes(), settings.bodyTimeoutMs(), settings.defaultDeadlineMs()),
        inFlight,
        ticker,
        metrics);
  }
}
