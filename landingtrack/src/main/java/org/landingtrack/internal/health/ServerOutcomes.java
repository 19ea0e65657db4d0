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
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.landingtrack.internal.health.Evidence.EjectionCounts;
import org.landingtrack.internal.loads.Tally;

/**
 * Recent outcomes of this VM's requests by server, and the part of them that it reports to all VMs.
 * The bad outcomes that one VM may report of a server are limited, so that no VM can cause an
 * ejection alone. A VM that sees faults at many servers reports nothing, since the fault is more
 * likely its own. Not thread-safe.
 */
final class ServerOutcomes {
  /**
   * Longest regular time between two calls of {@link #checkPending}, which come at least every 100
   * ms. After a longer gap this VM is assumed to have been suspended.
   */
  private static final long MAX_CHECK_GAP_MS = 500;

  /**
   * Failures, and slow requests, of a server that one VM may report. With this limit at least two
   * VMs are needed to eject a server.
   */
  private static final long MAX_BAD_PER_VM = 2;

  /**
   * Bad outcomes that suffice for an ejection. With fewer than three VMs each may report its part
   * of them, more than {@link #MAX_BAD_PER_VM}.
   */
  private static final int SUFFICIENT_BAD = 6;

  /** Largest share of servers that may be faulty at once; beyond it this VM itself is faulty. */
  private static final double MAX_FAULTY_SHARE = 0.3;

  private final MedianLatencies medianLatencies = new MedianLatencies();
  private final IdentityHashMap<Object, PendingAttempt> pendingAttempts = new IdentityHashMap<>();
  private final Map<Long, ServerHistory> histories = new HashMap<>();
  private long checkedAtMs = Long.MIN_VALUE;

  /** An attempt that is not closed yet. */
  private static final class PendingAttempt {
    private final ExpectedWork work;
    private final long sentAtMs;
    private boolean hasAnswer;
    private boolean counted;
    private boolean slow;
    private boolean failed;

    /** True if this VM was suspended during the attempt, so that the time taken means nothing. */
    private boolean timingUnknown;

    PendingAttempt(ExpectedWork work, long atMs) {
      this.work = work;
      this.sentAtMs = atMs;
    }
  }

  /** Outcomes at one server. */
  private static final class ServerHistory {
    private final long service;
    private final RecentOutcomes recent = new RecentOutcomes();

    ServerHistory(long service) {
      this.service = service;
    }
  }

  /** Records an attempt. {@code attempt} is only compared by identity. */
  void onSend(Object attempt, ExpectedWork work, long nowMs) {
    pendingAttempts.put(attempt, new PendingAttempt(work, nowMs));
  }

  /**
   * Records that the server answered, or began to; returns true for the first such call of an
   * attempt.
   */
  boolean onAnswer(Object attempt, long nowMs) {
    PendingAttempt pending = pendingAttempts.get(attempt);
    if (pending == null || pending.hasAnswer) {
      return false;
    }
    pending.hasAnswer = true;
    long tookMs = nowMs - pending.sentAtMs;
    if (!pending.timingUnknown) {
      evaluate(pending, tookMs, nowMs);
      medianLatencies.add(pending.work.kind(), tookMs / pending.work.units());
    }
    recordRequest(pending, nowMs);
    return true;
  }

  /** Records a failure that is the server's fault. */
  void onFailure(Object attempt, long nowMs) {
    PendingAttempt pending = pendingAttempts.get(attempt);
    if (pending != null && !pending.failed) {
      recordFailure(pending, nowMs);
    }
  }

  /** Removes an attempt; no further event of it follows. */
  void onClosed(Object attempt) {
    pendingAttempts.remove(attempt);
  }

  /**
   * Counts attempts that have been waiting for too long; call it at least every 100 ms. Attempts
   * that waited while this VM was suspended are not counted by their time.
   */
  void checkPending(long nowMs) {
    boolean wasPaused = checkedAtMs != Long.MIN_VALUE && nowMs - checkedAtMs > MAX_CHECK_GAP_MS;
    checkedAtMs = nowMs;
    for (PendingAttempt send : pendingAttempts.values()) {
      send.timingUnknown |= wasPaused;
      if (!send.hasAnswer && !send.failed && !send.timingUnknown) {
        evaluate(send, nowMs - send.sentAtMs, nowMs);
      }
    }
  }

  private void evaluate(PendingAttempt send, long elapsedMs, long nowMs) {
    double usualMs = medianLatencies.msPerUnit(send.work.kind());
    if (!send.slow && send.work.isSlow(elapsedMs, usualMs)) {
      send.slow = true;
      recordRequest(send, nowMs);
      historyOf(send.work).recent.addSlow(nowMs);
    }
    if (!send.failed && send.work.isOverdue(elapsedMs, usualMs)) {
      recordFailure(send, nowMs);
    }
  }

  private void recordFailure(PendingAttempt send, long nowMs) {
    send.failed = true;
    recordRequest(send, nowMs);
    historyOf(send.work).recent.addFailure(nowMs);
  }

  private void recordRequest(PendingAttempt send, long nowMs) {
    if (!send.counted) {
      send.counted = true;
      historyOf(send.work).recent.addRequest(nowMs);
    }
  }

  private ServerHistory historyOf(ExpectedWork work) {
    return histories.computeIfAbsent(
        work.incarnation(), server -> new ServerHistory(work.service()));
  }

  /**
   * Returns what this VM reports to all VMs: one tally for each server and each service.
   *
   * @param vms number of VMs
   * @param countsOf returns the ejection counts of a server
   * @param withCounts servers that are reported for their ejection counts even without outcomes
   */
  List<Tally> tallies(
      int vms, LongFunction<EjectionCounts> countsOf, Iterable<Long> withCounts, long nowMs) {
    Map<Long, Evidence> servers = evidence(vms, nowMs);
    Map<Long, Evidence> services = new HashMap<>();
    servers.forEach(
        (server, outcomes) -> services.merge(serviceOf(server), outcomes, Evidence::plus));
    withCounts.forEach(server -> servers.putIfAbsent(server, Evidence.NONE));
    List<Tally> tallies = new ArrayList<>();
    servers.forEach(
        (server, outcomes) -> tallies.add(outcomes.toServerTally(server, countsOf.apply(server))));
    services.forEach((service, outcomes) -> tallies.add(outcomes.toServiceTally(service)));
    return tallies;
  }

  private long serviceOf(long server) {
    ServerHistory history = histories.get(server);
    return history == null ? 0 : history.service;
  }

  private Map<Long, Evidence> evidence(int vms, long nowMs) {
    Map<Long, Evidence> evidence = new HashMap<>();
    long maxBad =
        vms == 1 ? Long.MAX_VALUE : Math.max(MAX_BAD_PER_VM, (SUFFICIENT_BAD + vms - 1) / vms);
    int faulty = 0;
    for (Iterator<Map.Entry<Long, ServerHistory>> entries = histories.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<Long, ServerHistory> entry = entries.next();
      Evidence outcomes = entry.getValue().recent.toEvidence(nowMs);
      if (outcomes.window().total() == 0) {
        entries.remove();
        continue;
      }
      faulty += outcomes.hasFaults() ? 1 : 0;
      evidence.put(entry.getKey(), outcomes.scaleToMaxBad(maxBad));
    }
    boolean isVmFaulty = faulty > Math.max(1, MAX_FAULTY_SHARE * evidence.size());
    return isVmFaulty ? new HashMap<>() : evidence;
  }
}
