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
package org.landingtrack.internal.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.PeerLoads;

/**
 * Keeps requests away from full servers of a service that state that they crash if they have to
 * reject too many requests in a second. Each slot of such a server is assigned to one VM by
 * rendezvous hashing, since a request may be shorter than the time until other VMs learn of it. A
 * VM without a free slot of its own takes turns at the spare slots of servers with hardly any load
 * as far as is known, and uses none for a while after a rejection. Without such a statement nothing
 * is stored or checked. Used on the event loop only.
 */
final class BrittleServers {
  /** How long a statement holds without a new one; each answer repeats it. */
  private static final long STATEMENT_MS = 10_000;

  /** Bounds of {@link #pauseMs}. */
  private static final long MIN_PAUSE_MS = 200;

  private static final long MAX_PAUSE_MS = 30_000;

  /** Rejections of several VMs fall into one second by chance. */
  private static final double PAUSE_FACTOR = 2;

  /** Share of a server's slots in use from which only their own VMs send to it. */
  private static final double SPARE_SHARE = 0.2;

  /** How long an assignment of slots is used before it is computed again. */
  private static final long ASSIGNMENT_MS = 1_000;

  /** Assumed time for which a request takes a slot. */
  static final double MS_PER_SLOT = 40;

  private static final double MS_PER_SECOND = 1_000;

  private final EventLoop loop;
  private final PeerLoads peers;
  private final SpareSlotTurns spareTurns;
  private final Map<String, Statement> byService = new HashMap<>();
  private final Map<Long, Assignment> assignments = new HashMap<>();

  /** The latest statement of a server of a service. */
  private record Statement(double maxRejectionsPerSecond, long atMs) {}

  /** The number of slots of a server that are assigned to this VM. */
  private record Assignment(int slots, long atMs) {}

  BrittleServers(EventLoop loop, PeerLoads peers, SpareSlotTurns spareTurns) {
    this.loop = loop;
    this.peers = peers;
    this.spareTurns = spareTurns;
  }

  /** Notes that a server states how many rejections a second it bears; returns true if new. */
  boolean stated(String service, double maxRejectionsPerSecond) {
    Statement before = byService.put(service, new Statement(maxRejectionsPerSecond, loop.millis()));
    return before == null || before.maxRejectionsPerSecond != maxRejectionsPerSecond;
  }

  /**
   * Notes an answer without a statement; returns true if that ends an earlier statement.
   *
   * @param sentAtMs when the request of the answer was sent
   */
  boolean statedNone(String service, long sentAtMs) {
    Statement before = byService.isEmpty() ? null : byService.get(service);
    if (before == null || sentAtMs <= before.atMs) {
      return false;
    }
    byService.remove(service);
    spareTurns.removeService(service);
    return true;
  }

  /** Returns true if the servers of a service are brittle. */
  boolean isBrittle(String service) {
    Statement statement = byService.isEmpty() ? null : byService.get(service);
    return statement != null && loop.millis() - statement.atMs <= STATEMENT_MS;
  }

  /** Counts a request of a caller for a service. */
  void recordRequest(String service) {
    if (isBrittle(service)) {
      spareTurns.recordRequest(service);
    }
  }

  /** Notes a request that is sent to a server, before it counts as in flight there. */
  void recordSend(Backend backend) {
    boolean usesOwnSlot =
        !isBrittle(backend.entry().service()) || backend.inFlight() < assignedSlots(backend);
    if (!usesOwnSlot) {
      spareTurns.recordSend(backend);
    }
  }

  /** Returns true if a server is not brittle, or has a free slot for this VM. */
  boolean maySend(Backend backend) {
    if (!isBrittle(backend.entry().service())) {
      return true;
    }
    return backend.inFlight() < assignedSlots(backend) || hasSpareSlot(backend);
  }

  /**
   * Returns true if a server has slots that the VMs to which they are assigned do not need. A VM
   * that does not know the load of all others uses one slot at a time.
   */
  private boolean hasSpareSlot(Backend backend) {
    if (!spareTurns.hasTurn(backend)) {
      return false;
    }
    if (!peers.knowsFleet() || peers.unreportedVms() > 0) {
      return backend.inFlight() == 0;
    }
    int running = backend.inFlight() + peers.running(backend.incarnationHash());
    boolean usesOneSpareSlot = backend.inFlight() <= assignedSlots(backend);
    return usesOneSpareSlot && running < SPARE_SHARE * backend.entry().slots();
  }

  private int assignedSlots(Backend backend) {
    if (!peers.knowsFleet()) {
      return 0;
    }
    long now = loop.millis();
    Assignment known = assignments.get(backend.incarnationHash());
    if (known != null && now - known.atMs < ASSIGNMENT_MS) {
      return known.slots;
    }
    int slots = 0;
    for (int i = 0; i < backend.entry().slots(); i++) {
      slots += peers.isResponsible(Hashes.combine(backend.incarnationHash(), i)) ? 1 : 0;
    }
    assignments.values().removeIf(each -> now - each.atMs > STATEMENT_MS);
    spareTurns.retainServers(assignments.keySet());
    assignments.put(backend.incarnationHash(), new Assignment(slots, now));
    return slots;
  }

  /**
   * Returns how long this VM sends nothing to a server that just rejected a request; 0 if the
   * server is not brittle. If each VM is rejected again after this time, all of them together cause
   * no more rejections than the server bears.
   */
  long pauseMs(Backend backend) {
    Statement statement = byService.get(backend.entry().service());
    if (statement == null || !isBrittle(backend.entry().service())) {
      return 0;
    }
    double fairMs =
        PAUSE_FACTOR
            * MS_PER_SECOND
            * peers.maxVms()
            / Math.max(1, statement.maxRejectionsPerSecond);
    return (long) Math.max(MIN_PAUSE_MS, Math.min(MAX_PAUSE_MS, fairMs));
  }

  /**
   * Returns the expected wait for a free slot of one of the given servers, in milliseconds.
   *
   * @param before requests of this VM that wait in front
   */
  long waitMs(Collection<Backend> full, int before) {
    int slots = 0;
    for (Backend backend : full) {
      slots += backend.entry().slots();
    }
    return (long) (MS_PER_SLOT * (before + 1) * peers.maxVms() / Math.max(1, slots));
  }
}
