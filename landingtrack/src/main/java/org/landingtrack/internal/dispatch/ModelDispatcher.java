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

import java.util.List;
import java.util.function.Supplier;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.engine.BackendClient;
import org.landingtrack.internal.engine.TokenSink;
import org.landingtrack.internal.explain.ExplanationBuilder;
import org.landingtrack.internal.routing.RoutingPolicy;
import org.landingtrack.internal.routing.ServerTable;

/**
 * Runs model requests: selects a backend server, claims the request key, sends the request, retries
 * it and resumes broken streams. Thread-safe.
 */
public final class ModelDispatcher {
  final Supplier<Catalog> catalog;
  final ServerTable servers;
  final ServiceLimiters serviceLimiters;
  final RoutingPolicy policy;
  final BackendClient client;
  final HolderLookup holders;
  final ClaimRegistry claims;
  final Ticker ticker;
  final String dataCentre;

  private ModelDispatcher(Builder builder) {
    this.catalog = builder.catalog;
    this.servers = builder.servers;
    this.serviceLimiters = builder.serviceLimiters;
    this.policy = builder.policy;
    this.client = builder.client;
    this.holders = builder.holders;
    this.claims = builder.claims;
    this.ticker = builder.ticker;
    this.dataCentre = builder.dataCentre;
  }

  /**
   * Runs a request until its answer is complete. Blocks the calling thread.
   *
   * @param sink receives the tokens as they arrive
   * @param trace receives the reasons for each decision
   * @throws org.landingtrack.LandingtrackException if there is no complete answer; its kind says
   *     whether the request ran
   */
  public DispatchReport run(ModelRequest request, TokenSink sink, ExplanationBuilder trace)
      throws InterruptedException {
    return new ModelRequestExecution(this, request, sink, trace).run();
  }

  /** Builds a {@link ModelDispatcher}. Not thread-safe. */
  public static final class Builder {
    private final Supplier<Catalog> catalog;
    private final ServerTable servers;
    private final ServiceLimiters serviceLimiters;
    private final BackendClient client;
    private final RoutingPolicy policy;
    private HolderLookup holders = (service, chain) -> List.of();
    private ClaimRegistry claims = new RefusingClaimRegistry();
    private Ticker ticker = Ticker.SYSTEM;
    private String dataCentre = "";

    public Builder(
        Supplier<Catalog> catalog,
        ServerTable servers,
        ServiceLimiters serviceLimiters,
        BackendClient client,
        RoutingPolicy policy) {
      this.catalog = catalog;
      this.servers = servers;
      this.serviceLimiters = serviceLimiters;
      this.client = client;
      this.policy = policy;
    }

    /** Sets the lookup of the holders of a prompt; by default it finds none. */
    public Builder setHolders(HolderLookup holders) {
      this.holders = holders;
      return this;
    }

    /** Sets where request keys are claimed; by default every claim is refused. */
    public Builder setClaims(ClaimRegistry claims) {
      this.claims = claims;
      return this;
    }

    /** Sets the clock; by default the system's. */
    public Builder setTicker(Ticker ticker) {
      this.ticker = ticker;
      return this;
    }

    /** Sets the data centre of the gateway; by default empty. */
    public Builder setDataCentre(String dataCentre) {
      this.dataCentre = dataCentre;
      return this;
    }

    /** Creates the dispatcher. */
    public ModelDispatcher build() {
      return new ModelDispatcher(this);
    }
  }
}
