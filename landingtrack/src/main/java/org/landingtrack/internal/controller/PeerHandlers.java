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

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.landingtrack.internal.admission.QuotaAllocator;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.claim.ClaimShard.ClaimResult;
import org.landingtrack.internal.claim.ClaimShard.Outcome;
import org.landingtrack.internal.claim.ClaimShards;
import org.landingtrack.internal.config.ConfigDelta;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.directory.PrefixDirectory;
import org.landingtrack.internal.explain.ExplanationStore;
import org.landingtrack.internal.kept.KvExporter;
import org.landingtrack.internal.membership.Member;
import org.landingtrack.internal.membership.MembershipService;
import org.landingtrack.internal.peer.Messages.ClaimAnswer;
import org.landingtrack.internal.peer.Messages.ClaimQuery;
import org.landingtrack.internal.peer.Messages.ClaimRelease;
import org.landingtrack.internal.peer.Messages.ConfigAnswer;
import org.landingtrack.internal.peer.Messages.ConfigPull;
import org.landingtrack.internal.peer.Messages.ExplainAnswer;
import org.landingtrack.internal.peer.Messages.ExplainQuery;
import org.landingtrack.internal.peer.Messages.Explained;
import org.landingtrack.internal.peer.Messages.FactsReset;
import org.landingtrack.internal.peer.Messages.FactsUpdate;
import org.landingtrack.internal.peer.Messages.HoldersAnswer;
import org.landingtrack.internal.peer.Messages.HoldersQuery;
import org.landingtrack.internal.peer.Messages.InForce;
import org.landingtrack.internal.peer.Messages.InForceAnswer;
import org.landingtrack.internal.peer.Messages.InForceQuery;
import org.landingtrack.internal.peer.Messages.MemberInfo;
import org.landingtrack.internal.peer.Messages.MembersAnswer;
import org.landingtrack.internal.peer.Messages.MembersQuery;
import org.landingtrack.internal.peer.Messages.RevisionAnswer;
import org.landingtrack.internal.peer.Messages.RevisionQuery;
import org.landingtrack.internal.peer.Messages.ShareAnswer;
import org.landingtrack.internal.peer.Messages.ShareQuery;
import org.landingtrack.internal.peer.Messages.Taken;
import org.landingtrack.internal.peer.PeerServer;

/** Handles the messages that gateways and other controllers send to a controller. Thread-safe. */
final class PeerHandlers {
  private static final int MAX_HOLDERS = 8;
  private static final long CLAIM_TIMEOUT_MS = 3_500;
  private static final long CLAIM_RETRY_AFTER_MS = 1_000;
  private static final long MAX_PULL_WAIT_MS = 10_000;

  private final ConfigReplica replica;
  private final MembershipService membership;
  private final PrefixDirectory directory;
  private final KvExporter kvCacheExporter;
  private final ClaimShards claims;
  private final ExplanationStore explanationStore;
  private final GatewayRevisions gatewayRevisions;
  private final LeavingServers leavingServers;
  private final Ticker ticker;
  private final QuotaAllocator quotaAllocator = new QuotaAllocator();

  PeerHandlers(
      ConfigReplica replica,
      MembershipService membership,
      PrefixDirectory directory,
      KvExporter exporter,
      ClaimShards claims,
      ExplanationStore explanationStore,
      GatewayRevisions gatewayRevisions,
      LeavingServers leavingServers,
      Ticker ticker) {
    this.replica = replica;
    this.membership = membership;
    this.directory = directory;
    this.kvCacheExporter = exporter;
    this.claims = claims;
    this.explanationStore = explanationStore;
    this.gatewayRevisions = gatewayRevisions;
    this.leavingServers = leavingServers;
    this.ticker = ticker;
  }

  /** Registers a handler for each message type. */
  void registerWith(PeerServer server) {
    server.on(ConfigPull.class, this::handleConfigPull);
    server.on(RevisionQuery.class, query -> new RevisionAnswer(replica.revision()));
    server.on(InForceQuery.class, this::handleInForceQuery);
    server.on(
        MembersQuery.class, query -> new MembersAnswer(memberInfos(), leavingServers.servers()));
    server.on(HoldersQuery.class, this::handleHoldersQuery);
    server.on(FactsUpdate.class, this::handleFactsUpdate);
    server.on(FactsReset.class, this::handleFactsReset);
    server.on(ClaimQuery.class, this::handleClaimQuery);
    server.on(ClaimRelease.class, this::handleClaimRelease);
    server.on(ShareQuery.class, this::handleShareQuery);
    server.on(Explained.class, this::handleExplained);
    server.on(
        ExplainQuery.class, query -> new ExplainAnswer(explanationStore.find(query.requestId())));
  }

  private ConfigAnswer handleConfigPull(ConfigPull pull) throws InterruptedException {
    if (pull.gateway()) {
      gatewayRevisions.recordPull("gateway/" + pull.subscriber(), pull.afterRevision());
    }
    if (!replica.isComplete()) {
      return new ConfigAnswer(false, new ConfigDelta(0, List.of()));
    }
    long waitMs = Math.min(MAX_PULL_WAIT_MS, pull.waitMs());
    return new ConfigAnswer(true, replica.awaitDeltaAfter(pull.afterRevision(), waitMs));
  }

  private InForceAnswer handleInForceQuery(InForceQuery query) {
    List<InForce> processes = new ArrayList<>(gatewayRevisions.inForce());
    processes.add(new InForce("controller/" + membership.self().vm(), replica.revision()));
    return new InForceAnswer(processes);
  }

  private List<MemberInfo> memberInfos() {
    return membership.usable().stream().map(PeerHandlers::toMemberInfo).toList();
  }

  private static MemberInfo toMemberInfo(Member member) {
    return new MemberInfo(
        member.vm(),
        member.dataCentre(),
        member.region(),
        member.address(),
        member.state().name(),
        member.incarnation());
  }

  private HoldersAnswer handleHoldersQuery(HoldersQuery query) {
    HoldersAnswer answer =
        new HoldersAnswer(directory.holders(query.group(), query.chain(), MAX_HOLDERS));
    kvCacheExporter.onRequest(query.service(), query.group(), query.chain());
    return answer;
  }

  private Taken handleFactsUpdate(FactsUpdate update) {
    directory.apply(update.facts());
    kvCacheExporter.onFacts(update.facts());
    return new Taken();
  }

  private Taken handleFactsReset(FactsReset reset) {
    directory.dropServer(reset.server());
    return new Taken();
  }

  private ClaimAnswer handleClaimQuery(ClaimQuery query) throws InterruptedException {
    ClaimResult result;
    try {
      result =
          claims
              .claim(query.keyHash(), query.claimant())
              .get(CLAIM_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      result = new ClaimResult(Outcome.UNAVAILABLE, "");
    }
    return new ClaimAnswer(result.outcome().name(), result.holder(), CLAIM_RETRY_AFTER_MS);
  }

  private Taken handleClaimRelease(ClaimRelease release) {
    claims.release(release.keyHash(), release.claimant());
    return new Taken();
  }

  /**
   * Returns the gateway's shares of its teams' limits. Each entry VM runs one gateway and one
   * controller, so the number of usable members is also the number of gateways.
   */
  private ShareAnswer handleShareQuery(ShareQuery query) {
    int gatewayCount = membership.usable().size();
    long now = ticker.millis();
    List<Double> shares = new ArrayList<>();
    for (int i = 0; i < query.teams().size(); i++) {
      double wanted = query.wanted().get(i);
      shares.add(
          quotaAllocator.report(query.teams().get(i), query.gateway(), wanted, gatewayCount, now));
    }
    return new ShareAnswer(shares);
  }

  private Taken handleExplained(Explained explained) {
    explained.explanations().forEach(explanationStore::addReceived);
    return new Taken();
  }
}
