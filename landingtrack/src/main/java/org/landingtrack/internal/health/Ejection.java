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

import org.landingtrack.internal.health.Evidence.EjectionCounts;

/**
 * State of the ejection of one server on this VM: whether it is in force, and when the next probe
 * is due. All VMs receive the counts of probes and of answered probes, so they compute the same
 * probe delays. Not thread-safe.
 */
final class Ejection {
  private static final long INITIAL_PROBE_DELAY_MS = 1_000;
  private static final long MAX_PROBE_DELAY_MS = 8_000;

  /** A server that is ejected again within this time keeps doubling its probe delay. */
  private static final long RETENTION_MS = 30_000;

  /**
   * Length of the turn in which one VM may probe the server. Over several turns some VM gets a
   * request that is suitable as a probe.
   */
  private static final long TURN_MS = 500;

  /** If no VM sent a probe within this time after it was due, the server is reinstated for all. */
  private static final long MAX_UNPROBED_MS = 4_000;

  private final long server;
  private final long service;
  private boolean active;
  private long probeDelayMs;
  private long probeDueAtMs;
  private long reinstatedAtMs;
  private long knownProbes;
  private long knownAnsweredProbes;
  private Evidence earlierEvidence = Evidence.NONE;

  /** Result of {@link #update}. */
  enum Change {
    /** The ejection goes on. */
    NONE,
    /** The server answered a probe and is reinstated. */
    PROBE_ANSWERED,
    /** No VM had a request to probe the server with, so it is reinstated. */
    NOT_PROBED
  }

  /**
   * Creates an ejection that has not begun.
   *
   * @param server hash of the server's incarnation
   * @param service hash of the service's name
   */
  Ejection(long server, long service) {
    this.server = server;
    this.service = service;
  }

  /** Begins the ejection, or begins it again; a repeated one doubles the probe delay. */
  void begin(EjectionCounts counts, long nowMs) {
    probeDelayMs =
        probeDelayMs == 0 ? INITIAL_PROBE_DELAY_MS : Math.min(MAX_PROBE_DELAY_MS, 2 * probeDelayMs);
    probeDueAtMs = nowMs + probeDelayMs;
    knownProbes = counts.probes();
    knownAnsweredProbes = counts.answeredProbes();
    active = true;
  }

  long service() {
    return service;
  }

  boolean isActive() {
    return active;
  }

  /** Returns true if the server was reinstated so long ago that this state can be dropped. */
  boolean isExpired(long nowMs) {
    return !active && nowMs - reinstatedAtMs > RETENTION_MS;
  }

  /**
   * Returns the outcomes since the server was last reinstated. Outcomes from before would eject it
   * again at once.
   */
  Evidence evidenceSinceReinstatement(Evidence evidence, long nowMs) {
    boolean isPast = nowMs - reinstatedAtMs > RecentOutcomes.WINDOW_MS;
    return isPast ? evidence : evidence.minus(earlierEvidence);
  }

  /** Updates the ejection with the counts of all VMs; call it only while it is in force. */
  Change update(EjectionCounts counts, Evidence evidence, long nowMs) {
    if (counts.answeredProbes() > knownAnsweredProbes) {
      reinstate(evidence, nowMs);
      return Change.PROBE_ANSWERED;
    }
    if (counts.probes() > knownProbes) {
      probeDelayMs = Math.min(MAX_PROBE_DELAY_MS, 2 * probeDelayMs);
      probeDueAtMs = nowMs + probeDelayMs;
    }
    knownProbes = counts.probes();
    knownAnsweredProbes = counts.answeredProbes();
    if (nowMs - probeDueAtMs > MAX_UNPROBED_MS) {
      reinstate(evidence, nowMs);
      return Change.NOT_PROBED;
    }
    return Change.NONE;
  }

  private void reinstate(Evidence evidence, long nowMs) {
    active = false;
    reinstatedAtMs = nowMs;
    earlierEvidence = evidence;
  }

  /** Returns true if the server is ejected and VMs may probe it in turns. */
  boolean isProbeDue(long nowMs) {
    return active && nowMs >= probeDueAtMs;
  }

  /** Returns the key that selects the VM whose turn it is to probe, by rendezvous hashing. */
  long turnKey(long nowMs) {
    return server + (nowMs - probeDueAtMs) / TURN_MS;
  }
}
