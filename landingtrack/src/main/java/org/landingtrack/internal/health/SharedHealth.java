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
package org.landingtrack.internal.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.health.Evidence.Word;
import org.landingtrack.internal.health.HealthPolicy.Server;
import org.landingtrack.internal.health.HealthPolicy.Verdict;
import org.landingtrack.internal.loads.FleetTallies;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.loads.Tally;

/**
 * Ejects servers by the outcomes that all VMs saw. Each VM decides for itself, from the same sums
 * and by the same rule; a VM that has just started adopts the ejections of the others. Not
 * thread-safe.
 */
public final class SharedHealth {
  /**
   * Least time between two decisions, unless this VM probes a server or has a probe answered;
   * reports of other VMs arrive ten times a second.
   */
  private static final long JUDGE_EVERY_MS = 50;

  /** How long a probe and its success are reported, which is several rounds of reports. */
  private static final long TOLD_MS = 1_500;

  /**
   * Number of other VMs that must have ejected a server by their own decision before this one
   * adopts the ejection.
   */
  private static final int BELIEVED_HOLDERS = 2;

  private final Ticker ticker;
  private final PeerLoads peers;
  private final Supplier<List<ServiceStarts>> services;
  private final Listener listener;
  private final ServerOutcomes outcomes = new ServerOutcomes();
  private final FleetTallies sums;
  private final Map<Long, Ejection> ejections = new HashMap<>();
  private final Map<Long, Long> probedAtMs = new HashMap<>();
  private final Map<Long, Long> provedAtMs = new HashMap<>();
  private Set<Long> held = Set.of();
  private long judgedAtMs = Long.MIN_VALUE;

  /**
   * A service and the current incarnations of its servers.
   *
   * @param service hash of its name
   * @param starts hashes of the incarnations; servers that are gone are left out
   */
  public record ServiceStarts(long service, List<Long> starts) {}

  /** Receives the ejections and reinstatements that this VM decides. */
  public interface Listener {
    /** Called when this VM ejects a server. */
    void ejected(long server, String reason);

    /** Called when a server that this VM had ejected may get requests again. */
    void released(long server, String reason);
  }

  /**
   * Creates a view without any outcomes.
   *
   * @param tally registers this VM's tallies for the reports to other VMs and returns the sums of
   *     the other VMs
   * @param services returns the services; called only while some server has faults or is ejected
   */
  public SharedHealth(
      Ticker ticker,
      PeerLoads peers,
      Function<Supplier<List<Tally>>, FleetTallies> tally,
      Supplier<List<ServiceStarts>> services,
      Listener listener) {
    this.ticker = ticker;
    this.peers = peers;
    this.services = services;
    this.listener = listener;
    this.sums = tally.apply(this::own);
  }

  /** Records an attempt. {@code attempt} is only compared by identity. */
  public void sent(Object attempt, Work work) {
    outcomes.sent(attempt, work, ticker.millis());
  }

  /** Records the first event of an answer that is no failure of the server. */
  public void answered(Object attempt, long server) {
    if (outcomes.answered(attempt, ticker.millis()) && probedAtMs.containsKey(server)) {
      provedAtMs.put(server, ticker.millis());
      judgedAtMs = Long.MIN_VALUE;
    }
  }

  /** Records a failure that is the server's fault. */
  public void failed(Object attempt) {
    outcomes.failed(attempt, ticker.millis());
  }

  /** Removes an attempt; no further event of it follows. */
  public void over(Object attempt) {
    outcomes.over(attempt);
  }

  /** Returns true if a server gets requests only as a last resort or as probes. */
  public boolean isEjected(long server) {
    judge();
    return !held.isEmpty() && held.contains(server);
  }

  /** Returns how many servers are ejected. */
  public int ejectedCount() {
    judge();
    return held.size();
  }

  /** Returns true if it is this VM's turn to probe an ejected server with a request. */
  public boolean mayProbe(long server) {
    judge();
    Ejection ejection = ejections.get(server);
    long now = ticker.millis();
    return ejection != null && ejection.isDue(now) && peers.isChosen(ejection.turn(now));
  }

  /** Records that this VM probes an ejected server now. */
  public void probes(long server) {
    probedAtMs.put(server, ticker.millis());
    judgedAtMs = Long.MIN_VALUE;
  }

  /** Returns the tallies that this VM reports. */
  private List<Tally> own() {
    long now = ticker.millis();
    outcomes.look(now);
    probedAtMs.values().removeIf(at -> now - at > TOLD_MS);
    provedAtMs.values().removeIf(at -> now - at > TOLD_MS);
    Set<Long> reported = new HashSet<>(probedAtMs.keySet());
    reported.addAll(provedAtMs.keySet());
    ejections.forEach(
        (server, ejection) -> {
          if (ejection.isHeld()) {
            reported.add(server);
          }
        });
    return outcomes.tallies(peers.vmsAtMost(), this::word, reported, now);
  }

  private Word word(long server) {
    Ejection ejection = ejections.get(server);
    return new Word(
        ejection != null && ejection.isHeld() ? 1 : 0,
        probedAtMs.containsKey(server) ? 1 : 0,
        provedAtMs.containsKey(server) ? 1 : 0);
  }

  /** Decides again if the last decision is older than {@link #JUDGE_EVERY_MS}. */
  private void judge() {
    long now = ticker.millis();
    if (judgedAtMs != Long.MIN_VALUE && now - judgedAtMs < JUDGE_EVERY_MS) {
      return;
    }
    judgedAtMs = now;
    Map<Long, Tally> others = sums.others();
    List<Tally> own = own();
    if (ejections.isEmpty() && !anyFault(others.values()) && !anyFault(own)) {
      held = Set.of();
      return;
    }
    Map<Long, Evidence> all = new HashMap<>();
    Map<Long, Word> counts = new HashMap<>();
    others.values().forEach(tally -> add(all, counts, tally));
    own.forEach(tally -> add(all, counts, tally));
    ejections.values().removeIf(ejection -> ejection.isForgotten(now));
    hear(all, counts, now);
    Set<Long> ejected = new HashSet<>();
    for (ServiceStarts service : services.get()) {
      judge(service, all, counts, others, ejected, now);
    }
    held = ejected;
  }

  private static boolean anyFault(Collection<Tally> tallies) {
    for (Tally tally : tallies) {
      if (Evidence.of(tally).hasFaults() || Word.of(tally).holders() > 0) {
        return true;
      }
    }
    return false;
  }

  private static void add(Map<Long, Evidence> all, Map<Long, Word> counts, Tally tally) {
    all.merge(tally.key(), Evidence.of(tally), Evidence::plus);
    counts.merge(tally.key(), Word.of(tally), Word::plus);
  }

  /** Updates the ejections in force with the probes that all VMs report. */
  private void hear(Map<Long, Evidence> all, Map<Long, Word> counts, long now) {
    ejections.forEach(
        (server, ejection) -> {
          if (!ejection.isHeld()) {
            return;
          }
          Word countsOfServer = counts.getOrDefault(server, Word.NONE);
          switch (ejection.heard(countsOfServer, all.getOrDefault(server, Evidence.NONE), now)) {
            case PROVED -> listener.released(server, "it answered the request that probed it");
            case UNTRIED -> listener.released(server, "no VM had a request to probe it with");
            case NONE -> {}
          }
        });
  }

  /** Decides on the servers of one service and adds those that are ejected to {@code ejected}. */
  private void judge(
      ServiceStarts service,
      Map<Long, Evidence> all,
      Map<Long, Word> counts,
      Map<Long, Tally> others,
      Set<Long> ejected,
      long now) {
    int maxEjected = HealthPolicy.mostEjected(service.starts().size());
    Evidence baseline = all.getOrDefault(service.service(), Evidence.NONE);
    List<Long> ejectedHere = new ArrayList<>();
    List<Server> candidates = new ArrayList<>();
    for (long incarnation : service.starts()) {
      Evidence evidence = all.getOrDefault(incarnation, Evidence.NONE);
      Ejection ejection = ejections.get(incarnation);
      if (ejection != null && ejection.isHeld()) {
        ejectedHere.add(incarnation);
        baseline = baseline.minus(evidence);
      } else if (evidence.hasFaults()) {
        candidates.add(
            new Server(incarnation, ejection == null ? evidence : ejection.since(evidence, now)));
      }
    }
    for (Verdict outlier :
        HealthPolicy.judge(candidates, baseline, maxEjected - ejectedHere.size())) {
      long server = outlier.server().start();
      Ejection ejection =
          ejections.computeIfAbsent(
              server, incarnation -> new Ejection(incarnation, service.service()));
      ejection.begin(counts.getOrDefault(server, Word.NONE), now);
      ejectedHere.add(server);
      listener.ejected(server, outlier.reason());
    }
    believe(service, others, ejectedHere, maxEjected);
    ejected.addAll(ejectedHere);
  }

  /**
   * Adopts ejections of other VMs. A VM that has just started or was partitioned did not see the
   * outcomes that led to them.
   */
  private static void believe(
      ServiceStarts service, Map<Long, Tally> others, List<Long> ejectedHere, int maxEjected) {
    List<Long> adopted = new ArrayList<>();
    for (long incarnation : service.starts()) {
      if (holders(others, incarnation) >= BELIEVED_HOLDERS && !ejectedHere.contains(incarnation)) {
        adopted.add(incarnation);
      }
    }
    adopted.sort(Comparator.comparingLong((Long incarnation) -> -holders(others, incarnation)));
    for (long incarnation : adopted) {
      if (ejectedHere.size() < maxEjected) {
        ejectedHere.add(incarnation);
      }
    }
  }

  private static long holders(Map<Long, Tally> others, long incarnation) {
    Tally tally = others.get(incarnation);
    return tally == null ? 0 : Word.of(tally).holders();
  }
}
