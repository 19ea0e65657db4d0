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
package org.landingtrack.internal.loads;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Sighting;
import org.landingtrack.internal.loads.GossipMessage.Vm;

/**
 * Tracks the load of the other VMs at backend servers and decides which VM sends to which. Up to a
 * dozen VMs send to each other. In a larger fleet each VM reports to its hub, hubs send each other
 * the sums of their groups, and a hub sends its VMs the total, from which each VM subtracts its own
 * load. Reports are stored as they arrive and summed on demand. Not thread-safe.
 */
public final class PeerLoads {
  /** Interval between two rounds of messages. */
  public static final long ROUND_MS = 100;

  /** Receivers in a round of a mesh; in a larger mesh the receivers rotate. */
  static final int MAX_RECEIVERS_PER_ROUND = 8;

  /** A report is used for this many intervals between two reports of its sender. */
  private static final long FRESH_ROUNDS = 4;

  /** A VM that sent nothing for this long gets messages only occasionally. */
  private static final long INACTIVE_MS = 2_000;

  /** A hub sends to a VM for this long after that VM's last message. */
  private static final long REPORTING_VM_TIMEOUT_MS = 1_000;

  private static final int INACTIVE_INTERVAL_ROUNDS = 10;

  /**
   * Rounds after which a VM that joins a large fleet knows that there are more VMs than a mesh has.
   */
  static final int DISCOVERY_ROUNDS = 5;

  /**
   * Largest number of sightings in one message. A sighting reports when some VM last received a
   * message from a VM.
   */
  private static final int MAX_SIGHTINGS = 12;

  /** Interval between two rounds with sightings while there is no newcomer. */
  private static final long SIGHTINGS_INTERVAL_MS = 500;

  /**
   * For this long after a VM started, the VMs that it sends to include sightings in each round, so
   * that it gets to know all VMs.
   */
  private static final long DISCOVERY_WINDOW_MS = 5_000;

  /**
   * Number of VMs that is assumed while the others are not known yet. It is larger than any planned
   * fleet, so that this VM's share of a divided quantity is too small rather than too large.
   */
  static final int ASSUMED_VMS = 1_000;

  /**
   * Gap between two sequence numbers that shows a restart: a process increments the number by one a
   * round and starts at the wall-clock time in milliseconds.
   */
  private static final long RESTART_SEQUENCE_GAP = 100;

  private static final Load NO_LOAD = new Load(0, 0, 0, 0, 0);

  private final Ticker ticker;
  private final Vm self;
  private final Fleet fleet;
  private final Map<String, Peer> peers = new HashMap<>();
  private Map<Long, Load> totals = new HashMap<>();
  private boolean outdated;
  private List<Load> reportedLoads = List.of();
  private List<Sighting> roundSightings = List.of();
  private long sightingsSentAtMs;
  private String lastSightingAddress = "";
  private long lastNewcomerAtMs;
  private long round;
  private boolean isHub;
  private final long createdAtMs;
  private int maxKnownVms = 1;
  private boolean receivedAnyMessage;

  private static final class Peer {
    private final Vm vm;
    private long sequence = -1;
    private long receivedAtMs;
    private Kind kind = Kind.OWN;
    private List<Load> loads = List.of();

    Peer(Vm vm) {
      this.vm = vm;
    }
  }

  /** A message that is due: its receiver, and whose requests it counts. */
  public record DueMessage(String receiver, Kind kind) {}

  /** Creates the view of the VM {@code self}, which knows no other VM. */
  public PeerLoads(Ticker ticker, Vm self) {
    this.ticker = ticker;
    this.self = self;
    this.fleet = new Fleet(self);
    this.lastNewcomerAtMs = ticker.millis();
    this.createdAtMs = ticker.millis();
  }

  /** Returns the address at which this VM receives messages. */
  public String address() {
    return self.address();
  }

  Vm self() {
    return self;
  }

  /** Adds VMs that may exist, for example from the settings; their data centres are not known. */
  public void addCandidates(List<String> addresses) {
    for (String address : addresses) {
      if (!address.equals(self.address())) {
        fleet.addCandidate(address, ticker.millis());
      }
    }
  }

  /**
   * Applies a message. A message that is older than the last one of the same sender is ignored.
   *
   * @return true if the message is the sender's latest
   */
  public boolean receive(GossipMessage message) {
    String sender = message.sender().address();
    if (sender.equals(self.address())) {
      return false;
    }
    long now = ticker.millis();
    Peer peer = peers.computeIfAbsent(sender, name -> new Peer(message.sender()));
    boolean restarted = now - peer.receivedAtMs > INACTIVE_MS;
    if (message.sequence() <= peer.sequence && !restarted) {
      return false;
    }
    if (restarted || message.sequence() - peer.sequence >= RESTART_SEQUENCE_GAP) {
      lastNewcomerAtMs = now;
    }
    peer.sequence = message.sequence();
    peer.receivedAtMs = now;
    receivedAnyMessage = true;
    peer.kind = message.kind();
    peer.loads = message.loads();
    fleet.recordMessage(message.sender(), now);
    for (Sighting sighting : message.sightings()) {
      if (!sighting.vm().address().equals(self.address())) {
        fleet.recordSighting(sighting.vm(), now - sighting.agoMs());
      }
    }
    outdated = true;
    return true;
  }

  /** Starts a round: removes expired state and returns the messages that are due. */
  public List<DueMessage> nextRound() {
    long now = ticker.millis();
    round++;
    peers.values().removeIf(peer -> now - peer.receivedAtMs > INACTIVE_MS * FRESH_ROUNDS);
    fleet.refresh(now);
    maxKnownVms = Math.max(maxKnownVms, fleet.size());
    Map<String, Kind> messages = fleet.isMesh() ? meshMessages(now) : hubMessages(now);
    outdated = true;
    chooseSightings(now);
    List<DueMessage> due = new ArrayList<>();
    messages.forEach((receiver, kind) -> due.add(new DueMessage(receiver, kind)));
    return due;
  }

  /** Chooses the sightings of this round in rotation; most rounds have none. */
  private void chooseSightings(long now) {
    roundSightings = List.of();
    boolean hasNewcomer = now - lastNewcomerAtMs <= DISCOVERY_WINDOW_MS;
    if (!hasNewcomer && now - sightingsSentAtMs < SIGHTINGS_INTERVAL_MS) {
      return;
    }
    sightingsSentAtMs = now;
    roundSightings = fleet.sightings(now, lastSightingAddress, MAX_SIGHTINGS);
    lastSightingAddress =
        roundSightings.isEmpty()
            ? ""
            : roundSightings.get(roundSightings.size() - 1).vm().address();
  }

  private Map<String, Kind> meshMessages(long now) {
    isHub = false;
    Map<String, Kind> messages = new LinkedHashMap<>();
    if (round % INACTIVE_INTERVAL_ROUNDS == 1) {
      for (Vm vm : fleet.inactiveFor(INACTIVE_MS, now)) {
        messages.put(vm.address(), Kind.OWN);
      }
    }
    List<Vm> active = new ArrayList<>(fleet.activeWithin(INACTIVE_MS, now));
    active.sort(Comparator.comparing(Vm::address));
    int size = active.size();
    int start =
        size <= MAX_RECEIVERS_PER_ROUND ? 0 : (int) (round * MAX_RECEIVERS_PER_ROUND % size);
    for (int i = 0; i < Math.min(size, MAX_RECEIVERS_PER_ROUND); i++) {
      messages.put(active.get((start + i) % size).address(), Kind.OWN);
    }
    return messages;
  }

  private Map<String, Kind> hubMessages(long now) {
    Map<String, Kind> messages = new LinkedHashMap<>();
    List<String> reporting = new ArrayList<>();
    List<String> otherHubs = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (now - peer.receivedAtMs > REPORTING_VM_TIMEOUT_MS) {
        continue;
      }
      if (peer.kind == Kind.OWN) {
        reporting.add(peer.vm.address());
      } else if (peer.kind == Kind.GROUP) {
        otherHubs.add(peer.vm.address());
      }
    }
    Set<String> hubs = fleet.hubs();
    isHub = hubs.contains(self.address()) || !reporting.isEmpty();
    if (!isHub) {
      String hub = fleet.ownHub();
      messages.put(hub, Kind.OWN);
      fleet.expectMessages(Set.of(hub), now);
      return messages;
    }
    reporting.forEach(vm -> messages.put(vm, Kind.ALL));
    otherHubs.forEach(vm -> messages.put(vm, Kind.GROUP));
    hubs.remove(self.address());
    hubs.forEach(vm -> messages.put(vm, Kind.GROUP));
    fleet.expectMessages(hubs, now);
    return messages;
  }

  /**
   * Returns an upper bound of the number of VMs, including this one. It is the highest number that
   * was known at once, since partitioned VMs still run, and at least {@link #ASSUMED_VMS} while the
   * others are not known.
   */
  public int maxVms() {
    return knowsFleet() ? maxKnownVms : Math.max(maxKnownVms, ASSUMED_VMS);
  }

  /** Returns false while other VMs may exist that this one does not know yet. */
  public boolean knowsFleet() {
    boolean isNew = ticker.millis() - createdAtMs < DISCOVERY_WINDOW_MS;
    boolean isAlone = maxKnownVms > 1 && !receivedAnyMessage;
    return !isNew && !isAlone;
  }

  /** Returns the other VMs that some VM received a message from recently. */
  public List<Vm> recentVms() {
    return fleet.recentlyActive(ticker.millis());
  }

  /** Returns the number of other VMs whose load is currently unknown. */
  public int unreportedVms() {
    long now = ticker.millis();
    int reported = 0;
    for (Peer peer : peers.values()) {
      if (isFresh(peer, now)) {
        if (peer.kind != Kind.OWN || isHub) {
          return 0;
        }
        reported++;
      }
    }
    return Math.max(0, maxKnownVms - 1 - reported);
  }

  /** Returns true while the fleet is small enough for a full mesh. */
  public boolean isMesh() {
    return fleet.isMesh();
  }

  /**
   * Returns true if this VM has to poll the part stores itself. It does not in its first rounds,
   * when it may not know the other VMs yet.
   */
  public boolean pollsPartStores() {
    return round > DISCOVERY_ROUNDS && (fleet.isMesh() || fleet.isFirstHub());
  }

  /** Returns true if this VM is a hub, so that other VMs rely on its polls of part stores. */
  public boolean isHub() {
    return isHub;
  }

  /**
   * Returns true if this VM is responsible for a key, by rendezvous hashing over the recently
   * active VMs. While the views of VMs differ, several VMs or none may be responsible.
   */
  public boolean isResponsible(long key) {
    return fleet.hasHighestWeight(key, ticker.millis());
  }

  /**
   * Returns the addresses of the other VMs that are responsible for a key, by rendezvous hashing
   * over the recently active VMs; the most responsible first.
   */
  public List<String> responsibleVms(long key, int count) {
    return fleet.highestWeights(key, count, ticker.millis());
  }

  /** Returns the loads for a message of a kind, and records the load that this VM reports. */
  List<Load> loadsFor(Kind kind, List<Load> own) {
    if (kind == Kind.OWN) {
      reportedLoads = own;
      outdated = true;
      return own;
    }
    Map<Long, Load> sum = new HashMap<>();
    add(sum, own);
    long now = ticker.millis();
    for (Peer peer : peers.values()) {
      boolean counts = peer.kind == Kind.OWN || (kind == Kind.ALL && peer.kind == Kind.GROUP);
      if (counts && isFresh(peer, now)) {
        add(sum, peer.loads);
      }
    }
    return List.copyOf(sum.values());
  }

  /** Returns the sightings of recently active VMs to send in this round. */
  List<Sighting> sightings() {
    return roundSightings;
  }

  private boolean isFresh(Peer peer, long now) {
    return now - peer.receivedAtMs <= freshMs();
  }

  /** Returns true if a report that arrived at a time is still used. */
  boolean isFresh(long heardAtMs) {
    return ticker.millis() - heardAtMs <= freshMs();
  }

  private long freshMs() {
    long turns = fleet.isMesh() ? 1L + peers.size() / MAX_RECEIVERS_PER_ROUND : 1;
    return FRESH_ROUNDS * ROUND_MS * turns;
  }

  /** Returns the load of the other VMs at a server or part store. */
  public Load others(long server) {
    if (outdated) {
      outdated = false;
      sumLoads(ticker.millis());
    }
    return totals.getOrDefault(server, NO_LOAD);
  }

  /**
   * Sums the load of the other VMs: at a hub, of its VMs and of the groups of other hubs; at a VM
   * with a hub, the latest total from the hub minus the load that this VM reported.
   */
  private void sumLoads(long now) {
    Map<Long, Load> sum = new HashMap<>();
    Peer latest = null;
    for (Peer peer : peers.values()) {
      if (!isFresh(peer, now)) {
        continue;
      }
      if (peer.kind == Kind.ALL) {
        latest = latest == null || peer.receivedAtMs > latest.receivedAtMs ? peer : latest;
      } else {
        add(sum, peer.loads);
      }
    }
    if (latest != null && !isHub) {
      sum.clear();
      add(sum, latest.loads);
      for (Load load : reportedLoads) {
        sum.computeIfPresent(load.server(), (server, all) -> all.minus(load));
      }
    }
    totals = sum;
  }

  private static void add(Map<Long, Load> sum, List<Load> loads) {
    for (Load load : loads) {
      sum.merge(load.server(), load, Load::plus);
    }
  }

  /** Returns the prompt tokens of other VMs that a server has yet to prefill. */
  public long pendingTokens(long server) {
    return others(server).pendingTokens();
  }

  /** Returns the number of requests of other VMs in flight at a server. */
  public int running(long server) {
    return others(server).running();
  }

  /** Returns how long transfers of other VMs keep the link of a server or part store busy. */
  public long transferMs(long server) {
    return others(server).transferMs();
  }

  /** Returns the tokens of a server's memory that requests of other VMs need. */
  public long memoryTokensInUse(long server) {
    return others(server).memoryTokensInUse();
  }

  /** Returns the number of requests that other VMs sent recently to a server with a rate limit. */
  public int limitedSends(long server) {
    return others(server).limitedSends();
  }
}
