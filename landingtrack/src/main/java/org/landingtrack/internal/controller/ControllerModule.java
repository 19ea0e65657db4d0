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
package org.landingtrack.internal.controller;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.base.WaitTicker;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.claim.ClaimShards;
import org.landingtrack.internal.config.ConfigFeed;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.directory.FactRouter;
import org.landingtrack.internal.directory.FeedFollower;
import org.landingtrack.internal.directory.HttpCacheFeed;
import org.landingtrack.internal.directory.PrefixDirectory;
import org.landingtrack.internal.explain.ExplanationStore;
import org.landingtrack.internal.kept.HttpKvExportClient;
import org.landingtrack.internal.kept.KvExporter;
import org.landingtrack.internal.lease.Lease;
import org.landingtrack.internal.membership.Member;
import org.landingtrack.internal.membership.Membership;
import org.landingtrack.internal.membership.MembershipService;
import org.landingtrack.internal.operator.CatalogWriter;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerServer;
import org.landingtrack.internal.peer.PeerTransport;
import org.landingtrack.internal.platform.HttpObjectApi;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.settings.ControllerSettings;
import org.landingtrack.internal.weights.DataCentreRollout;
import org.landingtrack.internal.weights.HttpEngineClient;

/** Provides the objects that only controllers have. */
@Module
final class ControllerModule {
  private static final int MAX_GROUPS = 200_000;
  private static final int MAX_EXPLANATIONS = 20_000;
  private static final long ROLLOUT_LEASE_MS = 6_000;
  private static final long VISIBILITY_TIMEOUT_MS = 3_000;

  /**
   * Rate limits of one controller's calls to the platform, a share of the platform's own limits.
   * The platform itself rejects calls beyond its limits.
   */
  private static final double READS_PER_SECOND = 50;

  private static final double WRITES_PER_SECOND = 40;

  private final ControllerSettings settings;

  ControllerModule(ControllerSettings settings) {
    this.settings = settings;
  }

  @Provides
  @Singleton
  HttpObjectApi httpObjectApi(Ticker ticker) {
    return new HttpObjectApi(settings.objectApi(), ticker, READS_PER_SECOND, WRITES_PER_SECOND);
  }

  @Provides
  ObjectApi objectApi(HttpObjectApi api) {
    return api;
  }

  @Provides
  @Singleton
  PeerServer peerServer(PeerTransport sockets) {
    return PeerServer.open(settings.host(), settings.peerPort(), sockets);
  }

  /**
   * Uses the wall clock as the first incarnation number, so that a restarted controller has a
   * higher one than its previous run and overrides the report that it is dead.
   */
  @Provides
  @Singleton
  MembershipService membership(PeerServer server, Ticker ticker) {
    Member self =
        new Member(
            settings.vm(),
            settings.dataCentre(),
            settings.region(),
            settings.host() + ":" + server.port(),
            Member.State.ALIVE,
            System.currentTimeMillis());
    Membership membership = new Membership(self, settings.probeMs(), new SplittableRandom());
    return new MembershipService(
        membership, settings.host(), server.port(), settings.probeMs(), ticker);
  }

  @Provides
  @Singleton
  ConfigFeed configFeed(
      ObjectApi api, PeerClient peers, MembershipService membership, ConfigReplica replica) {
    return new ConfigFeed(api, peers, membership, replica, new SplittableRandom());
  }

  @Provides
  @Singleton
  PrefixDirectory prefixDirectory() {
    return new PrefixDirectory(MAX_GROUPS);
  }

  @Provides
  @Singleton
  KvExporter kvCacheExporter(Supplier<Catalog> catalog, PrefixDirectory directory, Ticker ticker) {
    return new KvExporter(catalog, directory, new HttpKvExportClient(), ticker);
  }

  @Provides
  @Singleton
  FactRouter factRouter(
      MembershipService membership,
      PeerClient peers,
      PrefixDirectory directory,
      KvExporter exporter) {
    return new FactRouter(
        settings.vm(),
        () -> localMembers(membership),
        peers,
        directory,
        batch -> {
          directory.apply(batch);
          exporter.onFacts(batch);
        });
  }

  @Provides
  @Singleton
  FeedFollower feedFollower(
      Supplier<Catalog> catalog, MembershipService membership, FactRouter router) {
    return new FeedFollower(
        settings.vm(),
        settings.dataCentre(),
        catalog,
        () -> localMembers(membership),
        new HttpCacheFeed(),
        router);
  }

  private List<Member> localMembers(MembershipService membership) {
    return membership.usable().stream()
        .filter(member -> member.dataCentre().equals(settings.dataCentre()))
        .toList();
  }

  @Provides
  @Singleton
  ClaimShards claimShards(ObjectApi api) {
    return new ClaimShards(api, System::currentTimeMillis);
  }

  @Provides
  @Singleton
  ExplanationStore explanationStore() {
    return new ExplanationStore(MAX_EXPLANATIONS);
  }

  @Provides
  @Singleton
  GatewayRevisions gatewayRevisions() {
    return new GatewayRevisions();
  }

  @Provides
  @Singleton
  LeavingServers leavingServers() {
    return new LeavingServers();
  }

  @Provides
  @Singleton
  CatalogWriter catalogWriter(ObjectApi api, ConfigReplica replica) {
    return new CatalogWriter(
        api, replica, System::currentTimeMillis, new SplittableRandom(), VISIBILITY_TIMEOUT_MS);
  }

  @Provides
  @Singleton
  DataCentreRollout dataCentreRollout(
      ObjectApi api, Supplier<Catalog> catalog, ConfigFeed feed, Ticker ticker) {
    Lease lease =
        new Lease(
            api,
            ticker,
            WaitTicker.SYSTEM,
            "weights-" + settings.dataCentre(),
            settings.vm(),
            ROLLOUT_LEASE_MS);
    return new DataCentreRollout(
        settings.dataCentre(),
        () -> feed.parent().isEmpty(),
        catalog,
        lease,
        new HttpEngineClient(),
        ticker);
  }

  @Provides
  @Singleton
  PeerHandlers peerHandlers(
      ConfigReplica replica,
      MembershipService membership,
      PrefixDirectory directory,
      KvExporter exporter,
      ClaimShards claims,
      ExplanationStore explanationStore,
      GatewayRevisions gatewayRevisions,
      LeavingServers leavingServers,
      Ticker ticker) {
    return new PeerHandlers(
        replica,
        membership,
        directory,
        exporter,
        claims,
        explanationStore,
        gatewayRevisions,
        leavingServers,
        ticker);
  }
}
