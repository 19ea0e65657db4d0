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
import org.landingtrack.internal.loads.LoadNews.Sighting;
import org.landingtrack.internal.loads.LoadNews.Vm;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Membership view of this VM: the known VMs and the hubs among them. A small fleet is a full mesh.
 * In a larger fleet each VM has a hub in its data centre, chosen by rendezvous hashing; a silent
 * hub is excluded for a while. There is no agreement protocol: VMs with different views use
 * different hubs, and a VM that receives reports as a hub acts as one. The cost of a round does not
 * depend on the number of VMs, except for one scan of all VMs every {@link #LOOK_MS} or after a
 * change. Not thread-safe.
 */
final class Fleet {
  /**
   * Largest fleet that is a full mesh. Also the largest number of VMs that poll a part store at
   * once.
   */
  static final int MESH_VMS = 12;

  /** VMs per hub; a hub receives and sends 240 messages a second for them. */
  static final int GROUP_VMS = 24;

  /**
   * Lowest strength of a hub, as a share of the strength of the strongest VM in the data centre.
   */
  private static final double STRONG_SHARE = 0.7;

  /** A hub sends in every round of 100 ms; it counts as silent after five missed rounds. */
  static final long SILENT_MS = 500;

  /** How long a silent hub is excluded, unless a message from it arrives earlier. */
  static final long PASS_OVER_MS = 10_000;

  /** A VM is removed when no VM has received a message from it for this long. */
  private static final long FORGET_MS = 60_000;

  /**
   * Interval at which hubs are chosen again without a change of the membership; bounds how late the
   * end of an exclusion is noticed.
   */
  private static final long LOOK_MS = 500;

  /** Only VMs that some VM received a message from within this time are reported to others. */
  private static final long NAME_MS = 20_000;

  private static final Logger log = LoggerFactory.getLogger("loads");

  private final Vm self;
  private final NavigableMap<String, Known> known = new TreeMap<>();
  private final List<Known> expected = new ArrayList<>();
  private List<Group> groups = List.of();
  private boolean changed = true;
  private long lookedAtMs;

  private static final class Known {
    private final Vm vm;
    private final long hash;
    private long heardAtMs = Long.MIN_VALUE / 2;
    private long seenAtMs;
    private long expectedSinceMs = -1;
    private long passOverUntilMs = Long.MIN_VALUE / 2;

    Known(Vm vm) {
      this.vm = vm;
      this.hash = Hashes.placement(vm.address());
    }

    boolean isOf(Vm other) {
      return vm.address().equals(other.address());
    }
  }

  /** A group of VMs in a data centre and its hub. */
  private record Group(String dataCentre, int index, String hub) {}

  Fleet(Vm self) {
    this.self = self;
    known.put(self.address(), new Known(self));
  }

  /** Records that a message from a VM arrived. */
  void heard(Vm vm, long nowMs) {
    Known entry = entry(vm);
    changed |= isPassedOver(entry, nowMs);
    entry.heardAtMs = nowMs;
    entry.seenAtMs = nowMs;
    entry.passOverUntilMs = nowMs;
  }

  /** Records that a VM was active at a time, as reported by another VM. */
  void seen(Vm vm, long atMs) {
    Known entry = entry(vm);
    entry.seenAtMs = Math.max(entry.seenAtMs, atMs);
  }

  /** Adds a VM that may exist at an address; its data centre is not known yet. */
  void introduce(String address, long nowMs) {
    if (!known.containsKey(address)) {
      entry(new Vm(address, self.dataCentre(), 0)).seenAtMs = nowMs - NAME_MS - 1;
    }
  }

  /** Returns the entry of a VM. Later data replaces an entry that has only an address. */
  private Known entry(Vm vm) {
    Known entry = known.get(vm.address());
    if (entry == null || !entry.vm.isSame(vm)) {
      entry = new Known(vm);
      known.put(vm.address(), entry);
      changed = true;
    }
    return entry;
  }

  /** Removes expired VMs and chooses the hubs again, if that is due. */
  void refresh(long nowMs) {
    if (!changed && nowMs - lookedAtMs < LOOK_MS) {
      return;
    }
    changed = false;
    lookedAtMs = nowMs;
    known.values().removeIf(entry -> !entry.isOf(self) && nowMs - entry.seenAtMs > FORGET_MS);
    groups = isMesh() ? List.of() : findGroups(nowMs);
  }

  /** Returns the number of known VMs, including this one. */
  int size() {
    return known.size();
  }

  boolean isMesh() {
    return known.size() <= MESH_VMS;
  }

  /** Returns the other VMs from which a message arrived within a time. */
  List<Vm> heardWithin(long ms, long nowMs) {
    List<Vm> active = new ArrayList<>();
    for (Known entry : known.values()) {
      if (nowMs - entry.heardAtMs <= ms && !entry.isOf(self)) {
        active.add(entry.vm);
      }
    }
    return active;
  }

  /** Returns the other VMs from which no message arrived for a time. */
  List<Vm> silentFor(long ms, long nowMs) {
    List<Vm> silent = new ArrayList<>();
    for (Known entry : known.values()) {
      if (nowMs - entry.heardAtMs > ms && !entry.isOf(self)) {
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
      Collection<Known> entries, long nowMs, int count, List<Sighting> sightings) {
    for (Known entry : entries) {
      if (sightings.size() == count) {
        return;
      }
      long agoMs = nowMs - entry.seenAtMs;
      if (agoMs <= NAME_MS && !entry.isOf(self)) {
        sightings.add(new Sighting(entry.vm, agoMs));
      }
    }
  }

  /** Returns true if this VM has the highest rendezvous weight of all recently active VMs. */
  boolean isHeaviest(long key, long nowMs) {
    long own = Hashes.weight(key, Hashes.placement(self.address()));
    for (Known entry : known.values()) {
      boolean isActive = nowMs - entry.seenAtMs <= NAME_MS && !entry.isOf(self);
      if (isActive && Hashes.weight(key, entry.hash) > own) {
        return false;
      }
    }
    return true;
  }

  private List<Group> findGroups(long nowMs) {
    Map<String, List<Known>> byDataCentre = new TreeMap<>();
    for (Known entry : known.values()) {
      byDataCentre.computeIfAbsent(entry.vm.dataCentre(), name -> new ArrayList<>()).add(entry);
    }
    List<Group> found = new ArrayList<>();
    byDataCentre.forEach(
        (dataCentre, members) -> {
          int count = (members.size() + GROUP_VMS - 1) / GROUP_VMS;
          for (int i = 0; i < count; i++) {
            String hub = hub(dataCentre, i, members, nowMs);
            if (hub != null) {
              found.add(new Group(dataCentre, i, hub));
            }
          }
        });
    return found;
  }

  private @Nullable String hub(String dataCentre, int index, List<Known> members, long nowMs) {
    long key = Hashes.placement(dataCentre, Integer.toString(index));
    int strongest = 0;
    for (Known entry : members) {
      strongest = Math.max(strongest, isPassedOver(entry, nowMs) ? 0 : entry.vm.strength());
    }
    Known best = null;
    for (Known entry : members) {
      boolean isWeak = entry.vm.strength() < strongest * STRONG_SHARE;
      if (isWeak || isPassedOver(entry, nowMs)) {
        continue;
      }
      if (best == null || Hashes.weight(key, entry.hash) > Hashes.weight(key, best.hash)) {
        best = entry;
      }
    }
    return best == null ? null : best.vm.address();
  }

  private boolean isPassedOver(Known entry, long nowMs) {
    return nowMs < entry.passOverUntilMs && !entry.isOf(self);
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
  void expect(Set<String> hubs, long nowMs) {
    for (Known entry : expected) {
      if (!hubs.contains(entry.vm.address())) {
        entry.expectedSinceMs = -1;
      }
    }
    expected.clear();
    for (String hub : hubs) {
      Known entry = known.get(hub);
      if (entry != null) {
        expected.add(entry);
        expect(entry, nowMs);
      }
    }
  }

  private void expect(Known entry, long nowMs) {
    if (entry.expectedSinceMs < 0) {
      entry.expectedSinceMs = nowMs;
    }
    if (nowMs - Math.max(entry.expectedSinceMs, entry.heardAtMs) > SILENT_MS) {
      entry.passOverUntilMs = nowMs + PASS_OVER_MS;
      entry.expectedSinceMs = -1;
      changed = true;
      log.atInfo().addKeyValue("vm", entry.vm.address()).log("hub silent");
    }
  }
}
