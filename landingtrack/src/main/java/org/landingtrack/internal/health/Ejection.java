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

import org.landingtrack.internal.health.Evidence.Word;

/**
 * State of the ejection of one server on this VM: whether it is in force, and when the next probe
 * is due. All VMs receive the counts of probes and of answered probes, so they compute the same
 * probe delays. Not thread-safe.
 */
final class Ejection {
  private static final long FIRST_PAUSE_MS = 1_000;
  private static final long MAX_PAUSE_MS = 8_000;

  /** A server that is ejected again within this time keeps doubling its probe delay. */
  private static final long REMEMBERED_MS = 30_000;

  /**
   * Length of the turn in which one VM may probe the server. Over several turns some VM gets a
   * request that is suitable as a probe.
   */
  private static final long TURN_MS = 500;

  /** If no VM sent a probe within this time after it was due, the server is reinstated for all. */
  private static final long UNTRIED_MS = 4_000;

  private final long server;
  private final long service;
  private boolean held;
  private long pauseMs;
  private long dueAtMs;
  private long releasedAtMs;
  private long probesKnown;
  private long proofsKnown;
  private Evidence past = Evidence.NONE;

  /** Result of {@link #heard}. */
  enum Change {
    /** The ejection goes on. */
    NONE,
    /** The server answered a probe and is reinstated. */
    PROVED,
    /** No VM had a request to probe the server with, so it is reinstated. */
    UNTRIED
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
  void begin(Word counts, long nowMs) {
    pauseMs = pauseMs == 0 ? FIRST_PAUSE_MS : Math.min(MAX_PAUSE_MS, 2 * pauseMs);
    dueAtMs = nowMs + pauseMs;
    probesKnown = counts.probes();
    proofsKnown = counts.proofs();
    held = true;
  }

  long service() {
    return service;
  }

  boolean isHeld() {
    return held;
  }

  /** Returns true if the server was reinstated so long ago that this state can be dropped. */
  boolean isForgotten(long nowMs) {
    return !held && nowMs - releasedAtMs > REMEMBERED_MS;
  }

  /**
   * Returns the outcomes since the server was last reinstated. Outcomes from before would eject it
   * again at once.
   */
  Evidence since(Evidence evidence, long nowMs) {
    boolean isPast = nowMs - releasedAtMs > RecentOutcomes.WINDOW_MS;
    return isPast ? evidence : evidence.minus(past);
  }

  /** Updates the ejection with the counts of all VMs; call it only while it is in force. */
  Change heard(Word counts, Evidence evidence, long nowMs) {
    if (counts.proofs() > proofsKnown) {
      release(evidence, nowMs);
      return Change.PROVED;
    }
    if (counts.probes() > probesKnown) {
      pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
      dueAtMs = nowMs + pauseMs;
    }
    probesKnown = counts.probes();
    proofsKnown = counts.proofs();
    if (nowMs - dueAtMs > UNTRIED_MS) {
      release(evidence, nowMs);
      return Change.UNTRIED;
    }
    return Change.NONE;
  }

  private void release(Evidence evidence, long nowMs) {
    held = false;
    releasedAtMs = nowMs;
    past = evidence;
  }

  /** Returns true if the server is ejected and VMs may probe it in turns. */
  boolean isDue(long nowMs) {
    return held && nowMs >= dueAtMs;
  }

  /** Returns the key that selects the VM whose turn it is to probe, by rendezvous hashing. */
  long turn(long nowMs) {
    return server + (nowMs - dueAtMs) / TURN_MS;
  }
}
