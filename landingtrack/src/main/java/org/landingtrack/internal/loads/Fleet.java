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
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.GossipMessage.Sighting;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Membership view of this VM: the known VMs and the hubs among them. A small fleet is a full mesh.
 * In a larger fleet each VM has a hub in its data centre, chosen by rendezvous hashing; a silent
 * hub is excluded for a while. There is no agreement protocol: VMs with different views use
 * different hubs, and a VM that receives reports as a hub acts as one. The cost of a round does not
 * depend on the number of VMs, except for one scan of all VMs every {@link #REFRESH_INTERVAL_MS} or
 * after a change. Not thread-safe.
 */
final class Fleet {
  /**
   * Largest fleet that is a full mesh. Also the largest number of VMs that poll a part store at
   * once.
   */
  static final int MAX_MESH_VMS = 12;

  /** VMs per hub; a hub receives and sends 240 messages a second for them. */
  static final int MAX_GROUP_VMS = 24;

  /**
   * Lowest strength of a hub, as a share of the strength of the strongest VM in the data centre.
   */
  private static final double MIN_HUB_STRENGTH_SHARE = 0.7;

  /** A hub sends in every round of 100 ms; it counts as silent after five missed rounds. */
  static final long HUB_SILENCE_MS = 500;

  /** How long a silent hub is excluded, unless a message from it arrives earlier. */
  static final long HUB_EXCLUSION_MS = 10_000;

  /** A VM is removed when no VM has received a message from it for this long. */
  private static final long MEMBER_EXPIRY_MS = 60_000;

  /**
   * Interval at which hubs are chosen again without a change of the membership; bounds how late the
   * end of an exclusion is noticed.
   */
  private static final long REFRESH_INTERVAL_MS = 500;

  /** Only VMs that some VM received a message from within this time are reported to others. */
  private static final long MAX_SIGHTING_AGE_MS = 20_000;

  private static final Logger log = LoggerFactory.getLogger("loads");

  private final Vm self;
  private final NavigableMap<String, KnownVm> known = new TreeMap<>();
  private final List<KnownVm> expected = new ArrayList<>();
  private List<Group> groups = List.of();
  private boolean changed = true;
  private long refreshedAtMs;

  private static final class KnownVm {
    private final Vm vm;
    private final long hash;
    private long receivedAtMs = Long.MIN_VALUE / 2;
    private long activeAtMs;
    private long expectedSinceMs = -1;
    private long excludedUntilMs = Long.MIN_VALUE / 2;

    KnownVm(Vm vm) {
      this.vm = vm;
      this.hash = Hashes.placement(vm.address());
    }

    boolean isSameVm(Vm other) {
      return vm.address().equals(other.address());
    }
  }

  /** A group of VMs in a data centre and its hub. */
  private record Group(String dataCentre, int index, String hub) {}

  Fleet(Vm self) {
    this.self = self;
    known.put(self.address(), new KnownVm(self));
  }

  /** Records that a message from a VM arrived. */
  void recordMessage(Vm vm, long nowMs) {
    KnownVm entry = entry(vm);
    changed |= isExcluded(entry, nowMs);
    entry.receivedAtMs = nowMs;
    entry.activeAtMs = nowMs;
    entry.excludedUntilMs = nowMs;
  }

  /** Records that a VM was active at a time, as reported by another VM. */
  void recordSighting(Vm vm, long atMs) {
    KnownVm entry = entry(vm);
    entry.activeAtMs = Math.max(entry.activeAtMs, atMs);
  }

  /** Adds a VM that may exist at an address; its data centre is not known yet. */
  void addCandidate(String address, long nowMs) {
    if (!known.containsKey(address)) {
      entry(new Vm(address, self.dataCentre(), 0)).activeAtMs = nowMs - MAX_SIGHTING_AGE_MS - 1;
    }
  }

  /** Returns the entry of a VM. Later data replaces an entry that has only an address. */
  private KnownVm entry(Vm vm) {
    KnownVm entry = known.get(vm.address());
    if (entry == null || !entry.vm.isSame(vm)) {
      entry = new KnownVm(vm);
      known.put(vm.address(), entry);
      changed = true;
    }
    return entry;
  }

  /** Removes expired VMs and chooses the hubs again, if that is due. */
  void refresh(long nowMs) {
    if (!changed && nowMs - refreshedAtMs < REFRESH_INTERVAL_MS) {
      return;
    }
    changed = false;
    refreshedAtMs = nowMs;
    known
        .values()
        .removeIf(entry -> !entry.isSameVm(self) && nowMs - entry.activeAtMs > MEMBER_EXPIRY_MS);
    groups = isMesh() ? List.of() : findGroups(nowMs);
  }

  /** Returns the number of known VMs, including this one. */
  int size() {
    return known.size();
  }

  boolean isMesh() {
    return known.size() <= MAX_MESH_VMS;
  }

  /** Returns the other VMs from which a message arrived within a time. */
  List<Vm> activeWithin(long ms, long nowMs) {
    List<Vm> active = new ArrayList<>();
    for (KnownVm entry : known.values()) {
      if (nowMs - entry.receivedAtMs <= ms && !entry.isSameVm(self)) {
        active.add(entry.vm);
      }
    }
    return active;
  }

  /** Returns the other VMs that some VM received a message from recently. */
  List<Vm> recentlyActive(long nowMs) {
    List<Vm> active = new ArrayList<>();
    for (KnownVm entry : known.values()) {
      if (nowMs - entry.activeAtMs <= MAX_SIGHTING_AGE_MS && !entry.isSameVm(self)) {
        active.add(entry.vm);
      }
    }
    return active;
  }

  /** Returns the other VMs from which no message arrived for a time. */
  List<Vm> inactiveFor(long ms, long nowMs) {
    List<Vm> silent = new ArrayList<>();
    for (KnownVm entry : known.values()) {
      if (nowMs - entry.receivedAtMs > ms && !entry.isSameVm(self)) {
        silent.add(entry.vm);
      }
    }
    return silent;
  }

  /**
   * Returns up to {@code count} of the other VMs that were active recently, in round-robin order.
   *
   * @param after the last address of the previous call; the addresses after it come first
   */
  List<Sighting> sightings(long nowMs, String after, int count) {
    List<Sighting> sightings = new ArrayList<>();
    addSightings(known.tailMap(after, false).values(), nowMs, count, sightings);
    addSightings(known.headMap(after, true).values(), nowMs, count, sightings);
    return sightings;
  }

  private void addSightings(
      Collection<KnownVm> entries, long nowMs, int count, List<Sighting> sightings) {
    for (KnownVm entry : entries) {
      if (sightings.size() == count) {
        return;
      }
      long agoMs = nowMs - entry.activeAtMs;
      if (agoMs <= MAX_SIGHTING_AGE_MS && !entry.isSameVm(self)) {
        sightings.add(new Sighting(entry.vm, agoMs));
      }
    }
  }

  /** Returns true if this VM has the highest rendezvous weight of all recently active VMs. */
  boolean hasHighestWeight(long key, long nowMs) {
    long own = Hashes.combine(key, Hashes.placement(self.address()));
    for (KnownVm entry : known.values()) {
      boolean isActive = nowMs - entry.activeAtMs <= MAX_SIGHTING_AGE_MS && !entry.isSameVm(self);
      if (isActive && Hashes.combine(key, entry.hash) > own) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the addresses of the other recently active VMs with the highest rendezvous weights for
   * a key, highest first.
   */
  List<String> highestWeights(long key, int count, long nowMs) {
    List<KnownVm> best = new ArrayList<>();
    for (KnownVm entry : known.values()) {
      boolean isActive = nowMs - entry.activeAtMs <= MAX_SIGHTING_AGE_MS && !entry.isSameVm(self);
      if (!isActive) {
        continue;
      }
      long weight = Hashes.combine(key, entry.hash);
      int position = best.size();
      while (position > 0 && weight > Hashes.combine(key, best.get(position - 1).hash)) {
        position--;
      }
      best.add(position, entry);
      if (best.size() > count) {
        best.remove(count);
      }
    }
    return best.stream().map(entry -> entry.vm.address()).toList();
  }

  private List<Group> findGroups(long nowMs) {
    Map<String, List<KnownVm>> byDataCentre = new TreeMap<>();
    for (KnownVm entry : known.values()) {
      byDataCentre.computeIfAbsent(entry.vm.dataCentre(), name -> new ArrayList<>()).add(entry);
    }
    List<Group> found = new ArrayList<>();
    byDataCentre.forEach(
        (dataCentre, members) -> {
          int count = (members.size() + MAX_GROUP_VMS - 1) / MAX_GROUP_VMS;
          for (int i = 0; i < count; i++) {
            String hub = chooseHub(dataCentre, i, members, nowMs);
            if (hub != null) {
              found.add(new Group(dataCentre, i, hub));
            }
          }
        });
    return found;
  }

  private @Nullable String chooseHub(
      String dataCentre, int index, List<KnownVm> members, long nowMs) {
    long key = Hashes.placement(dataCentre, Integer.toString(index));
    int strongest = 0;
    for (KnownVm entry : members) {
      strongest = Math.max(strongest, isExcluded(entry, nowMs) ? 0 : entry.vm.strength());
    }
    KnownVm best = null;
    for (KnownVm entry : members) {
      boolean isWeak = entry.vm.strength() < strongest * MIN_HUB_STRENGTH_SHARE;
      if (isWeak || isExcluded(entry, nowMs)) {
        continue;
      }
      if (best == null || Hashes.combine(key, entry.hash) > Hashes.combine(key, best.hash)) {
        best = entry;
      }
    }
    return best == null ? null : best.vm.address();
  }

  private boolean isExcluded(KnownVm entry, long nowMs) {
    return nowMs < entry.excludedUntilMs && !entry.isSameVm(self);
  }

  /** Returns the hub of this VM; its own address if it is a hub or has none. */
  String ownHub() {
    List<Group> own = new ArrayList<>();
    for (Group group : groups) {
      if (group.hub.equals(self.address())) {
        return group.hub;
      }
      if (group.dataCentre.equals(self.dataCentre())) {
        own.add(group);
      }
    }
    if (own.isEmpty()) {
      return self.address();
    }
    int index = Math.floorMod(Hashes.placement(self.address(), "group"), own.size());
    return own.get(index).hub;
  }

  /** Returns the hubs of all groups. */
  Set<String> hubs() {
    Set<String> hubs = new LinkedHashSet<>();
    for (Group group : groups) {
      hubs.add(group.hub);
    }
    return hubs;
  }

  /** Returns true if this VM is the hub of the first group of a data centre. */
  boolean isFirstHub() {
    for (Group group : groups) {
      if (group.index == 0 && group.hub.equals(self.address())) {
        return true;
      }
    }
    return false;
  }

  /** Records the hubs that have to send in this round, and excludes those that stay silent. */
  void expectMessages(Set<String> hubs, long nowMs) {
    for (KnownVm entry : expected) {
      if (!hubs.contains(entry.vm.address())) {
        entry.expectedSinceMs = -1;
      }
    }
    expected.clear();
    for (String hub : hubs) {
      KnownVm entry = known.get(hub);
      if (entry != null) {
        expected.add(entry);
        expectMessages(entry, nowMs);
      }
    }
  }

  private void expectMessages(KnownVm entry, long nowMs) {
    if (entry.expectedSinceMs < 0) {
      entry.expectedSinceMs = nowMs;
    }
    if (nowMs - Math.max(entry.expectedSinceMs, entry.receivedAtMs) > HUB_SILENCE_MS) {
      entry.excludedUntilMs = nowMs + HUB_EXCLUSION_MS;
      entry.expectedSinceMs = -1;
      changed = true;
      log.atInfo().addKeyValue("vm", entry.vm.address()).log("hub silent");
    }
  }
}
