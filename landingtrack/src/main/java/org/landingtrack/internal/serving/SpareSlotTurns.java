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
import java.util.function.ToIntFunction;
import org.landingtrack.internal.loads.PeerLoads;

/**
 * Turns in which a VM may use slots of brittle servers that are assigned to other VMs. Loads are
 * reported too late to keep VMs from sending at the same moment to a server that seems idle. The
 * more requests all VMs have, the fewer turns each of them draws, so that all spare slots in use
 * are few on average whatever the load. Used on the event loop only.
 */
final class SpareSlotTurns {
  private static final long TURN_MS = 100;

  /** Mean number of a server's slots in use up to which every turn may be used. */
  private static final double UNRESTRICTED_SLOTS = 1;

  private final EventLoop loop;
  private final PeerLoads peers;
  private final ToIntFunction<String> serverCount;
  private final HashedSlots turns;
  private final Map<Long, HashedSlots.SlotUsage> usageByServer = new HashMap<>();
  private final Map<String, RequestRate> requestsByService = new HashMap<>();

  /**
   * Creates the turns of one VM.
   *
   * @param serverCount returns the number of servers of a service
   * @param salt differs between VMs
   */
  SpareSlotTurns(EventLoop loop, PeerLoads peers, ToIntFunction<String> serverCount, long salt) {
    this.loop = loop;
    this.peers = peers;
    this.serverCount = serverCount;
    // Turns that began at the same moment on all VMs would let waiting requests go together.
    this.turns = new HashedSlots(loop, TURN_MS, salt, Math.floorMod(salt, TURN_MS));
  }

  /** Counts a request of a caller for a service, whether or not it can be sent. */
  void recordRequest(String service) {
    requests(service).record(currentTurn());
  }

  private RequestRate requests(String service) {
    return requestsByService.computeIfAbsent(service, key -> new RequestRate());
  }

  private long currentTurn() {
    return loop.millis() / TURN_MS;
  }

  /** Returns true if this VM may use a slot of another VM at a server in the current turn. */
  boolean hasTurn(Backend backend) {
    String service = backend.entry().service();
    int servers = Math.max(1, serverCount.applyAsInt(service));
    double slotsInUse = slotsInUse(service) / servers;
    if (slotsInUse <= UNRESTRICTED_SLOTS) {
      return true;
    }
    // A request is sent if this VM drew a turn at any of the servers.
    double perServer = 1 - Math.pow(1 - UNRESTRICTED_SLOTS / slotsInUse, 1.0 / servers);
    return turns.hasCapacity(usage(backend), backend.incarnationHash(), perServer);
  }

  /** Estimates how many slots of a service all VMs need, if they get as many requests as this. */
  private double slotsInUse(String service) {
    double requestsPerTurn = requests(service).mean(currentTurn()) * peers.maxVms();
    return requestsPerTurn * BrittleServers.MS_PER_SLOT / TURN_MS;
  }

  private HashedSlots.SlotUsage usage(Backend backend) {
    return usageByServer.computeIfAbsent(
        backend.incarnationHash(), key -> new HashedSlots.SlotUsage());
  }

  /** Notes a request that is sent in a slot of another VM. */
  void recordSend(Backend backend) {
    turns.recordSend(usage(backend));
  }

  /** Forgets the servers that are not among these incarnations. */
  void retainServers(Collection<Long> incarnations) {
    usageByServer.keySet().retainAll(incarnations);
  }

  /** Forgets the requests for a service, whose servers are no longer brittle. */
  void removeService(String service) {
    requestsByService.remove(service);
  }
}
