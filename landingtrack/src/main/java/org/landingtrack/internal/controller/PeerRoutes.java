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
import org.landingtrack.internal.admission.ShareBook;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.claim.ClaimShard.Outcome;
import org.landingtrack.internal.claim.ClaimShard.Verdict;
import org.landingtrack.internal.claim.ClaimShards;
import org.landingtrack.internal.config.ConfigDelta;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.directory.PrefixDirectory;
import org.landingtrack.internal.explain.Explainer;
import org.landingtrack.internal.kept.KeptStateKeeper;
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
final class PeerRoutes {
  private static final int MAX_HOLDERS = 8;
  private static final long CLAIM_MS = 3_500;
  private static final long CLAIM_RETRY_MS = 1_000;
  private static final long MAX_PULL_MS = 10_000;

  private final ConfigReplica replica;
  private final MembershipService membership;
  private final PrefixDirectory directory;
  private final KeptStateKeeper kept;
  private final ClaimShards claims;
  private final Explainer explainer;
  private final Gateways gateways;
  private final LeavingServers leaving;
  private final Ticker ticker;
  private final ShareBook shareBook = new ShareBook();

  PeerRoutes(
      ConfigReplica replica,
      MembershipService membership,
      PrefixDirectory directory,
      KeptStateKeeper exporter,
      ClaimShards claims,
      Explainer explanationStore,
      Gateways gatewayRevisions,
      LeavingServers leavingServers,
      Ticker ticker) {
    this.replica = replica;
    this.membership = membership;
    this.directory = directory;
    this.kept = exporter;
    this.claims = claims;
    this.explainer = explanationStore;
    this.gateways = gatewayRevisions;
    this.leaving = leavingServers;
    this.ticker = ticker;
  }

  /** Registers a handler for each message type. */
  void addTo(PeerServer server) {
    server.on(ConfigPull.class, this::config);
    server.on(RevisionQuery.class, query -> new RevisionAnswer(replica.revision()));
    server.on(InForceQuery.class, this::inForce);
    server.on(MembersQuery.class, query -> new MembersAnswer(members(), leaving.servers()));
    server.on(HoldersQuery.class, this::holders);
    server.on(FactsUpdate.class, this::facts);
    server.on(FactsReset.class, this::reset);
    server.on(ClaimQuery.class, this::claim);
    server.on(ClaimRelease.class, this::release);
    server.on(ShareQuery.class, this::shares);
    server.on(Explained.class, this::explained);
    server.on(ExplainQuery.class, query -> new ExplainAnswer(explainer.explain(query.requestId())));
  }

  private ConfigAnswer config(ConfigPull pull) throws InterruptedException {
    if (pull.gateway()) {
      gateways.pulled("gateway/" + pull.subscriber(), pull.afterRevision());
    }
    if (!replica.isComplete()) {
      return new ConfigAnswer(false, new ConfigDelta(0, List.of()));
    }
    long waitMs = Math.min(MAX_PULL_MS, pull.waitMs());
    return new ConfigAnswer(true, replica.awaitDeltaAfter(pull.afterRevision(), waitMs));
  }

  private InForceAnswer inForce(InForceQuery query) {
    List<InForce> processes = new ArrayList<>(gateways.inForce());
    processes.add(new InForce("controller/" + membership.self().vm(), replica.revision()));
    return new InForceAnswer(processes);
  }

  private List<MemberInfo> members() {
    return membership.usable().stream().map(PeerRoutes::info).toList();
  }

  private static MemberInfo info(Member member) {
    return new MemberInfo(
        member.vm(),
        member.dataCentre(),
        member.region(),
        member.address(),
        member.state().name(),
        member.incarnation());
  }

  private HoldersAnswer holders(HoldersQuery query) {
    HoldersAnswer answer =
        new HoldersAnswer(directory.holders(query.group(), query.chain(), MAX_HOLDERS));
    kept.visited(query.service(), query.group(), query.chain());
    return answer;
  }

  private Taken facts(FactsUpdate update) {
    directory.apply(update.facts());
    kept.learned(update.facts());
    return new Taken();
  }

  private Taken reset(FactsReset reset) {
    directory.dropServer(reset.server());
    return new Taken();
  }

  private ClaimAnswer claim(ClaimQuery query) throws InterruptedException {
    Verdict result;
    try {
      result = claims.claim(query.keyHash(), query.claimant()).get(CLAIM_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      result = new Verdict(Outcome.UNAVAILABLE, "");
    }
    return new ClaimAnswer(result.outcome().name(), result.by(), CLAIM_RETRY_MS);
  }

  private Taken release(ClaimRelease release) {
    claims.release(release.keyHash(), release.claimant());
    return new Taken();
  }

  /**
   * Returns the gateway's shares of its teams' limits. Each entry VM runs one gateway and one
   * controller, so the number of usable members is also the number of gateways.
   */
  private ShareAnswer shares(ShareQuery query) {
    int gatewayCount = membership.usable().size();
    long now = ticker.millis();
    List<Double> shares = new ArrayList<>();
    for (int i = 0; i < query.teams().size(); i++) {
      double wanted = query.wanted().get(i);
      shares.add(
          shareBook.report(query.teams().get(i), query.gateway(), wanted, gatewayCount, now));
    }
    return new ShareAnswer(shares);
  }

  private Taken explained(Explained explained) {
    explained.explanations().forEach(explainer::keep);
    return new Taken();
  }
}
