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
import org.landingtrack.internal.loads.PeerLoads;

/**
 * Shares the request limit of a server among all VMs.
 *
 * <p>Each VM knows from the reports of the others how many requests the server was sent recently.
 * While that leaves capacity, VMs send only in short time slots, which each VM draws with a hash of
 * its own; the number of drawn slots follows the capacity. So the limit can be used up even if only
 * few VMs have requests, and the number of requests that several VMs send before they receive each
 * other's reports is bounded. VMs that receive no reports of each other use equal shares of the
 * limit, so that the limit holds in that case too.
 *
 * <p>The cost is one lookup for each server that is considered while any server has a limit. Used
 * on the event loop only.
 */
final class LimitedServers {
  /**
   * Slot length where all VMs report to each other: a VM learns of the requests that the others
   * sent after one or two such slots.
   */
  private static final long MESH_SLOT_MS = PeerLoads.ROUND_MS;

  /**
   * Slot length where reports go through hubs; long, so that few slots begin before all VMs know of
   * a sent request.
   */
  private static final long HUB_SLOT_MS = 1_500;

  /**
   * Number of slots that begin until all VMs know of a sent request, including the slot in which it
   * was sent.
   */
  private static final double MESH_DELAY_SLOTS = 2.75;

  private static final double HUB_DELAY_SLOTS = 1.2;

  /**
   * Factor of its limit that a server can take within the window over which sent requests are
   * counted.
   */
  private static final double OVERSHOOT = 1.5;

  /** Number of requests that it can take on top of that. */
  private static final double TOLERANCE = 5;

  /**
   * Share of the known free capacity that is counted, since requests of other VMs that are not
   * reported yet may use the remainder.
   */
  private static final double HEADROOM_SHARE = 0.7;

  /**
   * Number of standard deviations by which the mean number of requests lies below what a server can
   * take beyond its limit. The requests that VMs send before they receive each other's reports
   * depend on independently drawn slots, so their number follows a Poisson distribution.
   */
  private static final double MARGIN_DEVIATIONS = 2.5;

  /** Factor of the mean wait that hardly any wait exceeds; slots are drawn, so waits vary. */
  private static final double WAIT_BOUND_FACTOR = 5;

  /** Longer than any request lasts. */
  private static final long MAX_WAIT_MS = 86_400_000;

  private static final double MS_PER_SECOND = 1_000;

  private final EventLoop loop;
  private final ServerLimits limits;
  private final PeerLoads peers;
  private final HashedSlots meshSlots;
  private final HashedSlots hubSlots;
  private long passedOver;

  /**
   * Creates the limiter of one VM.
   *
   * @param salt differs between VMs
   */
  LimitedServers(EventLoop loop, ServerLimits limits, PeerLoads peers, long salt) {
    this.loop = loop;
    this.limits = limits;
    this.peers = peers;
    this.meshSlots = new HashedSlots(loop, MESH_SLOT_MS, salt);
    this.hubSlots = new HashedSlots(loop, HUB_SLOT_MS, salt);
  }

  /** Returns true if a server has no limit, or this VM may send it a request now. */
  boolean maySend(Backend backend) {
    ServerLimit limit = limits.find(backend.incarnationHash());
    if (limit == null) {
      return true;
    }
    boolean isAllowed =
        slots()
            .hasCapacity(
                backend.limitedSends(), backend.incarnationHash(), meanPerSlot(limit, backend));
    passedOver += isAllowed ? 0 : 1;
    return isAllowed;
  }

  /** Returns the mean number of requests that this VM may send in one slot. */
  private double meanPerSlot(ServerLimit limit, Backend backend) {
    double vms = peers.maxVms();
    double heard = vms - peers.unreportedVms();
    double reachableShare = limit.requestsPerWindow() * heard / vms;
    double room =
        reachableShare
            - limit.recentSends(loop.millis())
            - peers.limitedSends(backend.incarnationHash());
    double perSlot = room < 1 ? Math.max(0, room) * slotMs() / limit.windowMs() : room;
    // Where few slots have a request, most drawn slots expire unused. More are drawn to make up for
    // that, but never more than the server can take if each of them has a request.
    double demand = slots().demand(backend.limitedSends());
    return Math.min(perSlot / demand / heard, maxPerSlot(limit, room) / vms);
  }

  /**
   * Returns the mean number of requests that all VMs together may send in one slot if every drawn
   * slot has a request. Requests that are reported too late still fit into what the server can
   * take.
   */
  private double maxPerSlot(ServerLimit limit, double room) {
    double excess =
        (OVERSHOOT - 1) * limit.requestsPerWindow()
            + TOLERANCE
            + HEADROOM_SHARE * Math.max(0, room);
    double root =
        (Math.sqrt(MARGIN_DEVIATIONS * MARGIN_DEVIATIONS + 4 * excess) - MARGIN_DEVIATIONS) / 2;
    return root * root / (peers.isMesh() ? MESH_DELAY_SLOTS : HUB_DELAY_SLOTS);
  }

  private HashedSlots slots() {
    return peers.isMesh() ? meshSlots : hubSlots;
  }

  private long slotMs() {
    return peers.isMesh() ? MESH_SLOT_MS : HUB_SLOT_MS;
  }

  /** Notes that a request is sent. */
  void sent(Backend backend) {
    ServerLimit limit = limits.find(backend.incarnationHash());
    if (limit != null) {
      limit.sent(loop.millis());
      slots().recordSend(backend.limitedSends());
    }
  }

  /**
   * Returns the time within which one of the given servers can get a request, in 99 of 100 cases.
   *
   * @param before requests of this VM that wait in front of it
   */
  long waitMs(Collection<Backend> servers, int before) {
    double perSecond = 0;
    for (Backend backend : servers) {
      ServerLimit limit = limits.find(backend.incarnationHash());
      perSecond += limit == null ? 0 : limit.perSecond();
    }
    double ownRate = perSecond / peers.maxVms();
    return ownRate == 0
        ? MAX_WAIT_MS
        : (long) (WAIT_BOUND_FACTOR * (before + 1) * MS_PER_SECOND / ownRate);
  }

  /** Returns how often a server was skipped because of its limit. */
  long passedOver() {
    return passedOver;
  }
}
