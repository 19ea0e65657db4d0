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
import org.landingtrack.internal.health.Evidence.EjectionCounts;
import org.landingtrack.internal.health.HealthPolicy.Outlier;
import org.landingtrack.internal.health.HealthPolicy.Server;
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
  private static final long EVALUATION_INTERVAL_MS = 50;

  /** How long a probe and its success are reported, which is several rounds of reports. */
  private static final long PROBE_REPORT_MS = 1_500;

  /**
   * Number of other VMs that must have ejected a server by their own decision before this one
   * adopts the ejection.
   */
  private static final int MIN_EJECTING_VMS = 2;

  private final Ticker ticker;
  private final PeerLoads peers;
  private final Supplier<List<ServiceIncarnations>> services;
  private final Listener listener;
  private final ServerOutcomes outcomes = new ServerOutcomes();
  private final FleetTallies fleetTallies;
  private final Map<Long, Ejection> ejections = new HashMap<>();
  private final Map<Long, Long> probedAtMs = new HashMap<>();
  private final Map<Long, Long> probeAnsweredAtMs = new HashMap<>();
  private Set<Long> ejectedServers = Set.of();
  private long evaluatedAtMs = Long.MIN_VALUE;

  /**
   * A service and the current incarnations of its servers.
   *
   * @param service hash of its name
   * @param incarnations hashes of the incarnations; servers that are gone are left out
   */
  public record ServiceIncarnations(long service, List<Long> incarnations) {}

  /** Receives the ejections and reinstatements that this VM decides. */
  public interface Listener {
    /** Called when this VM ejects a server. */
    void ejected(long server, String reason);

    /** Called when a server that this VM had ejected may get requests again. */
    void reinstated(long server, String reason);
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
      Supplier<List<ServiceIncarnations>> services,
      Listener listener) {
    this.ticker = ticker;
    this.peers = peers;
    this.services = services;
    this.listener = listener;
    this.fleetTallies = tally.apply(this::ownTallies);
  }

  /** Records an attempt. {@code attempt} is only compared by identity. */
  public void onSend(Object attempt, ExpectedWork work) {
    outcomes.onSend(attempt, work, ticker.millis());
  }

  /** Records the first event of an answer that is no failure of the server. */
  public void onAnswer(Object attempt, long server) {
    if (outcomes.onAnswer(attempt, ticker.millis()) && probedAtMs.containsKey(server)) {
      probeAnsweredAtMs.put(server, ticker.millis());
      evaluatedAtMs = Long.MIN_VALUE;
    }
  }

  /** Records a failure that is the server's fault. */
  public void onFailure(Object attempt) {
    outcomes.onFailure(attempt, ticker.millis());
  }

  /** Removes an attempt; no further event of it follows. */
  public void onClosed(Object attempt) {
    outcomes.onClosed(attempt);
  }

  /** Returns true if a server gets requests only as a last resort or as probes. */
  public boolean isEjected(long server) {
    evaluate();
    return !ejectedServers.isEmpty() && ejectedServers.contains(server);
  }

  /** Returns how many servers are ejected. */
  public int ejectedCount() {
    evaluate();
    return ejectedServers.size();
  }

  /** Returns true if it is this VM's turn to probe an ejected server with a request. */
  public boolean mayProbe(long server) {
    evaluate();
    Ejection ejection = ejections.get(server);
    long now = ticker.millis();
    return ejection != null
        && ejection.isProbeDue(now)
        && peers.isResponsible(ejection.turnKey(now));
  }

  /** Records that this VM probes an ejected server now. */
  public void onProbe(long server) {
    probedAtMs.put(server, ticker.millis());
    evaluatedAtMs = Long.MIN_VALUE;
  }

  /** Returns the tallies that this VM reports. */
  private List<Tally> ownTallies() {
    long now = ticker.millis();
    outcomes.checkPending(now);
    probedAtMs.values().removeIf(at -> now - at > PROBE_REPORT_MS);
    probeAnsweredAtMs.values().removeIf(at -> now - at > PROBE_REPORT_MS);
    Set<Long> reported = new HashSet<>(probedAtMs.keySet());
    reported.addAll(probeAnsweredAtMs.keySet());
    ejections.forEach(
        (server, ejection) -> {
          if (ejection.isActive()) {
            reported.add(server);
          }
        });
    return outcomes.tallies(peers.maxVms(), this::ejectionCounts, reported, now);
  }

  private EjectionCounts ejectionCounts(long server) {
    Ejection ejection = ejections.get(server);
    return new EjectionCounts(
        ejection != null && ejection.isActive() ? 1 : 0,
        probedAtMs.containsKey(server) ? 1 : 0,
        probeAnsweredAtMs.containsKey(server) ? 1 : 0);
  }

  /** Decides again if the last decision is older than {@link #EVALUATION_INTERVAL_MS}. */
  private void evaluate() {
    long now = ticker.millis();
    if (evaluatedAtMs != Long.MIN_VALUE && now - evaluatedAtMs < EVALUATION_INTERVAL_MS) {
      return;
    }
    evaluatedAtMs = now;
    Map<Long, Tally> others = fleetTallies.others();
    List<Tally> own = ownTallies();
    if (ejections.isEmpty() && !hasFaults(others.values()) && !hasFaults(own)) {
      ejectedServers = Set.of();
      return;
    }
    Map<Long, Evidence> all = new HashMap<>();
    Map<Long, EjectionCounts> counts = new HashMap<>();
    others.values().forEach(tally -> add(all, counts, tally));
    own.forEach(tally -> add(all, counts, tally));
    ejections.values().removeIf(ejection -> ejection.isExpired(now));
    updateEjections(all, counts, now);
    Set<Long> ejected = new HashSet<>();
    for (ServiceIncarnations service : services.get()) {
      evaluate(service, all, counts, others, ejected, now);
    }
    ejectedServers = ejected;
  }

  private static boolean hasFaults(Collection<Tally> tallies) {
    for (Tally tally : tallies) {
      if (Evidence.of(tally).hasFaults() || EjectionCounts.of(tally).ejectingVms() > 0) {
        return true;
      }
    }
    return false;
  }

  private static void add(Map<Long, Evidence> all, Map<Long, EjectionCounts> counts, Tally tally) {
    all.merge(tally.key(), Evidence.of(tally), Evidence::plus);
    counts.merge(tally.key(), EjectionCounts.of(tally), EjectionCounts::plus);
  }

  /** Updates the ejections in force with the probes that all VMs report. */
  private void updateEjections(
      Map<Long, Evidence> all, Map<Long, EjectionCounts> counts, long now) {
    ejections.forEach(
        (server, ejection) -> {
          if (!ejection.isActive()) {
            return;
          }
          EjectionCounts countsOfServer = counts.getOrDefault(server, EjectionCounts.NONE);
          switch (ejection.update(countsOfServer, all.getOrDefault(server, Evidence.NONE), now)) {
            case PROBE_ANSWERED ->
                listener.reinstated(server, "it answered the request that probed it");
            case NOT_PROBED -> listener.reinstated(server, "no VM had a request to probe it with");
            case NONE -> {}
          }
        });
  }

  /** Decides on the servers of one service and adds those that are ejected to {@code ejected}. */
  private void evaluate(
      ServiceIncarnations service,
      Map<Long, Evidence> all,
      Map<Long, EjectionCounts> counts,
      Map<Long, Tally> others,
      Set<Long> ejected,
      long now) {
    int maxEjected = HealthPolicy.maxEjections(service.incarnations().size());
    Evidence baseline = all.getOrDefault(service.service(), Evidence.NONE);
    List<Long> ejectedHere = new ArrayList<>();
    List<Server> candidates = new ArrayList<>();
    for (long incarnation : service.incarnations()) {
      Evidence evidence = all.getOrDefault(incarnation, Evidence.NONE);
      Ejection ejection = ejections.get(incarnation);
      if (ejection != null && ejection.isActive()) {
        ejectedHere.add(incarnation);
        baseline = baseline.minus(evidence);
      } else if (evidence.hasFaults()) {
        candidates.add(
            new Server(
                incarnation,
                ejection == null ? evidence : ejection.evidenceSinceReinstatement(evidence, now)));
      }
    }
    for (Outlier outlier :
        HealthPolicy.detect(candidates, baseline, maxEjected - ejectedHere.size())) {
      long server = outlier.server().incarnation();
      Ejection ejection =
          ejections.computeIfAbsent(
              server, incarnation -> new Ejection(incarnation, service.service()));
      ejection.begin(counts.getOrDefault(server, EjectionCounts.NONE), now);
      ejectedHere.add(server);
      listener.ejected(server, outlier.reason());
    }
    adoptEjections(service, others, ejectedHere, maxEjected);
    ejected.addAll(ejectedHere);
  }

  /**
   * Adopts ejections of other VMs. A VM that has just started or was partitioned did not see the
   * outcomes that led to them.
   */
  private static void adoptEjections(
      ServiceIncarnations service,
      Map<Long, Tally> others,
      List<Long> ejectedHere,
      int maxEjected) {
    List<Long> adopted = new ArrayList<>();
    for (long incarnation : service.incarnations()) {
      if (ejectingVms(others, incarnation) >= MIN_EJECTING_VMS
          && !ejectedHere.contains(incarnation)) {
        adopted.add(incarnation);
      }
    }
    adopted.sort(Comparator.comparingLong((Long incarnation) -> -ejectingVms(others, incarnation)));
    for (long incarnation : adopted) {
      if (ejectedHere.size() < maxEjected) {
        ejectedHere.add(incarnation);
      }
    }
  }

  private static long ejectingVms(Map<Long, Tally> others, long incarnation) {
    Tally tally = others.get(incarnation);
    return tally == null ? 0 : EjectionCounts.of(tally).ejectingVms();
  }
}
