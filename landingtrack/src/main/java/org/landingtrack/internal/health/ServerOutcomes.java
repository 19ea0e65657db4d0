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
import org.landingtrack.internal.health.Evidence.Word;
import org.landingtrack.internal.loads.Tally;

/**
 * Recent outcomes of this VM's requests by server, and the part of them that it reports to all VMs.
 * The bad outcomes that one VM may report of a server are limited, so that no VM can cause an
 * ejection alone. A VM that sees faults at many servers reports nothing, since the fault is more
 * likely its own. Not thread-safe.
 */
final class ServerOutcomes {
  /**
   * Longest regular time between two calls of {@link #look}, which come at least every 100 ms.
   * After a longer gap this VM is assumed to have been suspended.
   */
  private static final long STILL_MS = 500;

  /**
   * Failures, and slow requests, of a server that one VM may report. With this limit at least two
   * VMs are needed to eject a server.
   */
  private static final long MOST_BAD = 2;

  /**
   * Bad outcomes that suffice for an ejection. With fewer than three VMs each may report its part
   * of them, more than {@link #MOST_BAD}.
   */
  private static final int ENOUGH_BAD = 6;

  /** Largest share of servers that may be faulty at once; beyond it this VM itself is faulty. */
  private static final double TROUBLE_SHARE = 0.3;

  private final UsualTimes usual = new UsualTimes();
  private final IdentityHashMap<Object, Send> sends = new IdentityHashMap<>();
  private final Map<Long, Seen> seen = new HashMap<>();
  private long lookedAtMs = Long.MIN_VALUE;

  /** An attempt that is not closed yet. */
  private static final class Send {
    private final Work work;
    private final long atMs;
    private boolean begun;
    private boolean counted;
    private boolean slow;
    private boolean failed;

    /** True if this VM was suspended during the attempt, so that the time taken means nothing. */
    private boolean excused;

    Send(Work work, long atMs) {
      this.work = work;
      this.atMs = atMs;
    }
  }

  /** Outcomes at one server. */
  private static final class Seen {
    private final long service;
    private final RecentOutcomes recent = new RecentOutcomes();

    Seen(long service) {
      this.service = service;
    }
  }

  /** Records an attempt. {@code attempt} is only compared by identity. */
  void sent(Object attempt, Work work, long nowMs) {
    sends.put(attempt, new Send(work, nowMs));
  }

  /**
   * Records that the server answered, or began to; returns true for the first such call of an
   * attempt.
   */
  boolean answered(Object attempt, long nowMs) {
    Send pending = sends.get(attempt);
    if (pending == null || pending.begun) {
      return false;
    }
    pending.begun = true;
    long tookMs = nowMs - pending.atMs;
    if (!pending.excused) {
      judge(pending, tookMs, nowMs);
      usual.add(pending.work.kind(), tookMs / pending.work.units());
    }
    count(pending, nowMs);
    return true;
  }

  /** Records a failure that is the server's fault. */
  void failed(Object attempt, long nowMs) {
    Send pending = sends.get(attempt);
    if (pending != null && !pending.failed) {
      fail(pending, nowMs);
    }
  }

  /** Removes an attempt; no further event of it follows. */
  void over(Object attempt) {
    sends.remove(attempt);
  }

  /**
   * Counts attempts that have been waiting for too long; call it at least every 100 ms. Attempts
   * that waited while this VM was suspended are not counted by their time.
   */
  void look(long nowMs) {
    boolean wasPaused = lookedAtMs != Long.MIN_VALUE && nowMs - lookedAtMs > STILL_MS;
    lookedAtMs = nowMs;
    for (Send send : sends.values()) {
      send.excused |= wasPaused;
      if (!send.begun && !send.failed && !send.excused) {
        judge(send, nowMs - send.atMs, nowMs);
      }
    }
  }

  private void judge(Send send, long elapsedMs, long nowMs) {
    double usualMs = usual.msPerUnit(send.work.kind());
    if (!send.slow && send.work.isSlow(elapsedMs, usualMs)) {
      send.slow = true;
      count(send, nowMs);
      of(send.work).recent.addSlow(nowMs);
    }
    if (!send.failed && send.work.isLost(elapsedMs, usualMs)) {
      fail(send, nowMs);
    }
  }

  private void fail(Send send, long nowMs) {
    send.failed = true;
    count(send, nowMs);
    of(send.work).recent.addFailure(nowMs);
  }

  private void count(Send send, long nowMs) {
    if (!send.counted) {
      send.counted = true;
      of(send.work).recent.addTotal(nowMs);
    }
  }

  private Seen of(Work work) {
    return seen.computeIfAbsent(work.server(), server -> new Seen(work.service()));
  }

  /**
   * Returns what this VM reports to all VMs: one tally for each server and each service.
   *
   * @param vms number of VMs
   * @param countsOf returns the ejection counts of a server
   * @param withCounts servers that are reported for their ejection counts even without outcomes
   */
  List<Tally> tallies(int vms, LongFunction<Word> countsOf, Iterable<Long> withCounts, long nowMs) {
    Map<Long, Evidence> servers = evidence(vms, nowMs);
    Map<Long, Evidence> services = new HashMap<>();
    servers.forEach(
        (server, outcomes) -> services.merge(serviceOf(server), outcomes, Evidence::plus));
    withCounts.forEach(server -> servers.putIfAbsent(server, Evidence.NONE));
    List<Tally> tallies = new ArrayList<>();
    servers.forEach(
        (server, outcomes) -> tallies.add(outcomes.ofServer(server, countsOf.apply(server))));
    services.forEach((service, outcomes) -> tallies.add(outcomes.ofService(service)));
    return tallies;
  }

  private long serviceOf(long server) {
    Seen history = seen.get(server);
    return history == null ? 0 : history.service;
  }

  private Map<Long, Evidence> evidence(int vms, long nowMs) {
    Map<Long, Evidence> evidence = new HashMap<>();
    long maxBad = vms == 1 ? Long.MAX_VALUE : Math.max(MOST_BAD, (ENOUGH_BAD + vms - 1) / vms);
    int faulty = 0;
    for (Iterator<Map.Entry<Long, Seen>> entries = seen.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<Long, Seen> entry = entries.next();
      Evidence outcomes = entry.getValue().recent.sum(nowMs);
      if (outcomes.window().total() == 0) {
        entries.remove();
        continue;
      }
      faulty += outcomes.hasFaults() ? 1 : 0;
      evidence.put(entry.getKey(), outcomes.atMost(maxBad));
    }
    boolean isVmFaulty = faulty > Math.max(1, TROUBLE_SHARE * evidence.size());
    return isVmFaulty ? new HashMap<>() : evidence;
  }
}
