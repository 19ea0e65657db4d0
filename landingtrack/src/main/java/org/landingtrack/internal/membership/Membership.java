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
package org.landingtrack.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.membership.Member.State;
import org.landingtrack.internal.membership.Probe.Outgoing;

/**
 * The membership protocol (SWIM) without its sockets.
 *
 * <p>Each period, one random member is probed. If it does not answer, other members probe it
 * (indirect probes). If it still does not answer, it is suspected, and declared dead unless it
 * refutes that with a higher incarnation. Updates about members are piggybacked on the probes, each
 * a limited number of times, so that the cost per member does not grow with the number of members.
 *
 * <p>Views may differ between members; nothing that requires exclusivity may depend on them. Not
 * thread-safe. The caller passes all times, in milliseconds of a monotonic clock.
 */
public final class Membership {
  private static final int INDIRECT_PROBES = 3;
  private static final int MAX_UPDATES_PER_PROBE = 8;
  private static final int SUSPICION_PERIODS = 4;
  private static final int RETENTION_PERIODS = 600;
  private static final int DEAD_PROBE_INTERVAL_PERIODS = 10;

  private final RandomGenerator random;
  private final long periodMs;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Long> changedAtMs = new HashMap<>();
  private final Map<String, Integer> remainingTransmissions = new HashMap<>();
  private final List<String> probeOrder = new ArrayList<>();
  private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
  private Member self;
  private long sequence;
  private long ticks;
  private String probedVm = "";
  private long probedSequence = -1;
  private boolean probeAnswered = true;

  /** A probe on behalf of another member, to which the ACK is forwarded with its own number. */
  private record RelayedProbe(String address, long sequence, long atMs) {}

  /**
   * Creates the protocol for one member.
   *
   * @param periodMs time between two calls of {@link #tick}
   */
  public Membership(Member self, long periodMs, RandomGenerator random) {
    this.self = self;
    this.periodMs = periodMs;
    this.random = random;
    members.put(self.vm(), self);
    announce(self.vm());
  }

  /** Returns this member. */
  public Member self() {
    return self;
  }

  /** Returns all known members, including dead ones, sorted by VM name. */
  public List<Member> members() {
    List<Member> list = new ArrayList<>(members.values());
    list.sort(Comparator.comparing(Member::vm));
    return list;
  }

  /**
   * Adds unknown members from a list that may be outdated, such as the platform's VM list. Known
   * members do not change.
   */
  public void seed(Collection<Member> seeds, long nowMs) {
    for (Member seed : seeds) {
      if (!members.containsKey(seed.vm())) {
        merge(seed, nowMs);
      }
    }
  }

  /** Starts a period: evaluates the previous probe and returns the datagrams to send. */
  public List<Outgoing> tick(long nowMs) {
    ticks++;
    List<Outgoing> out = new ArrayList<>();
    concludeProbe(nowMs);
    expire(nowMs);
    relayedProbes.values().removeIf(relay -> nowMs - relay.atMs > 2 * periodMs);
    Member next = nextToProbe();
    if (next == null) {
      return out;
    }
    probedVm = next.vm();
    probedSequence = ++sequence;
    probeAnswered = false;
    out.add(new Outgoing(next.address(), newProbe(Probe.Type.PING, probedSequence, "", next.vm())));
    return out;
  }

  /**
   * Runs the second half of a period: if the probed member has not answered, asks others to probe
   * it. Returns the datagrams to send.
   */
  public List<Outgoing> requestIndirectProbes() {
    List<Outgoing> out = new ArrayList<>();
    Member target = members.get(probedVm);
    if (probeAnswered || target == null) {
      return out;
    }
    List<Member> proxies = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.isUsable() && !member.vm().equals(self.vm()) && !member.vm().equals(probedVm)) {
        proxies.add(member);
      }
    }
    for (int i = 0; i < INDIRECT_PROBES && !proxies.isEmpty(); i++) {
      Member proxy = proxies.remove(random.nextInt(proxies.size()));
      out.add(
          new Outgoing(
              proxy.address(),
              newProbe(Probe.Type.PING_REQUEST, probedSequence, target.address(), proxy.vm())));
    }
    return out;
  }

  /** Processes a received datagram and returns the datagrams to send. */
  public List<Outgoing> receive(Probe probe, long nowMs) {
    List<Outgoing> out = new ArrayList<>();
    merge(probe.from(), nowMs);
    for (Member update : probe.updates()) {
      merge(update, nowMs);
    }
    switch (probe.type()) {
      case PING ->
          out.add(
              new Outgoing(
                  probe.from().address(),
                  newProbe(Probe.Type.ACK, probe.sequence(), "", probe.from().vm())));
      case PING_REQUEST -> {
        long relaySequence = ++sequence;
        relayedProbes.put(
            relaySequence, new RelayedProbe(probe.from().address(), probe.sequence(), nowMs));
        out.add(new Outgoing(probe.target(), newProbe(Probe.Type.PING, relaySequence, "", "")));
      }
      case ACK -> {
        if (probe.sequence() == probedSequence) {
          probeAnswered = true;
        }
        RelayedProbe relay = relayedProbes.remove(probe.sequence());
        if (relay != null) {
          out.add(new Outgoing(relay.address, newProbe(Probe.Type.ACK, relay.sequence, "", "")));
        }
      }
    }
    return out;
  }

  /** Leaves the group; returns datagrams that announce it to some alive members. */
  public List<Outgoing> leave() {
    self = self.with(State.LEFT, self.incarnation() + 1);
    members.put(self.vm(), self);
    announce(self.vm());
    List<Outgoing> out = new ArrayList<>();
    for (Member member : members.values()) {
      if (out.size() < MAX_UPDATES_PER_PROBE && member.state() == State.ALIVE) {
        out.add(
            new Outgoing(member.address(), newProbe(Probe.Type.PING, ++sequence, "", member.vm())));
      }
    }
    return out;
  }

  private void concludeProbe(long nowMs) {
    Member probed = members.get(probedVm);
    if (!probeAnswered && probed != null && probed.state() == State.ALIVE) {
      put(probed.with(State.SUSPECT, probed.incarnation()), nowMs);
    }
  }

  private void expire(long nowMs) {
    for (Member member : List.copyOf(members.values())) {
      long age = nowMs - changedAtMs.getOrDefault(member.vm(), nowMs);
      if (member.state() == State.SUSPECT && age >= SUSPICION_PERIODS * periodMs) {
        put(member.with(State.DEAD, member.incarnation()), nowMs);
      } else if (!member.isUsable() && age >= RETENTION_PERIODS * periodMs) {
        members.remove(member.vm());
        changedAtMs.remove(member.vm());
        remainingTransmissions.remove(member.vm());
      }
    }
  }

  private void merge(Member update, long nowMs) {
    if (update.vm().equals(self.vm())) {
      refute(update);
      return;
    }
    Member known = members.get(update.vm());
    if (known == null || update.overrides(known)) {
      put(update, nowMs);
    }
  }

  private void refute(Member update) {
    boolean falselyReported = update.state() != State.ALIVE && self.state() == State.ALIVE;
    if (update.incarnation() > self.incarnation()
        || (falselyReported && update.incarnation() == self.incarnation())) {
      self = self.with(self.state(), update.incarnation() + 1);
      members.put(self.vm(), self);
      announce(self.vm());
    }
  }

  private void put(Member member, long nowMs) {
    members.put(member.vm(), member);
    changedAtMs.put(member.vm(), nowMs);
    announce(member.vm());
  }

  /** Schedules an update to be sent 3 times the number of bits of the group size plus one. */
  private void announce(String vm) {
    int transmissions = 3 * (32 - Integer.numberOfLeadingZeros(members.size() + 1));
    remainingTransmissions.put(vm, transmissions);
  }

  /**
   * Creates a datagram. If the receiver is not considered alive, the datagram always includes this
   * view, since the receiver may have recovered and only it can refute that, long after the update
   * about its death is no longer sent.
   */
  private Probe newProbe(Probe.Type type, long number, String target, String receiver) {
    List<Member> updates = nextUpdates();
    Member view = members.get(receiver);
    if (view != null && view.state() != State.ALIVE && !updates.contains(view)) {
      updates.add(view);
    }
    return new Probe(type, number, self, target, updates);
  }

  /** Selects the updates to piggyback, those with the most transmissions left first. */
  private List<Member> nextUpdates() {
    List<String> names = new ArrayList<>(remainingTransmissions.keySet());
    names.sort(
        Comparator.comparingInt((String vm) -> -remainingTransmissions.getOrDefault(vm, 0))
            .thenComparing(Comparator.naturalOrder()));
    List<Member> updates = new ArrayList<>();
    for (String vm : names) {
      if (updates.size() == MAX_UPDATES_PER_PROBE) {
        break;
      }
      Member member = members.get(vm);
      if (member != null) {
        updates.add(member);
      }
      remainingTransmissions.computeIfPresent(
          vm, (key, remaining) -> remaining <= 1 ? null : remaining - 1);
    }
    return updates;
  }

  /**
   * Selects the member to probe: the usable members in random order, and periodically a dead one,
   * so that the group merges again after a partition.
   */
  private @Nullable Member nextToProbe() {
    if (ticks % DEAD_PROBE_INTERVAL_PERIODS == 0) {
      List<Member> deadMembers = new ArrayList<>();
      for (Member member : members.values()) {
        if (member.state() == State.DEAD) {
          deadMembers.add(member);
        }
      }
      if (!deadMembers.isEmpty()) {
        return deadMembers.get(random.nextInt(deadMembers.size()));
      }
    }
    while (true) {
      if (probeOrder.isEmpty() && !refillProbeOrder()) {
        return null;
      }
      Member next = members.get(probeOrder.remove(probeOrder.size() - 1));
      if (next != null && next.isUsable() && !next.vm().equals(self.vm())) {
        return next;
      }
    }
  }

  private boolean refillProbeOrder() {
    for (Member member : members.values()) {
      if (member.isUsable() && !member.vm().equals(self.vm())) {
        probeOrder.add(random.nextInt(probeOrder.size() + 1), member.vm());
      }
    }
    return !probeOrder.isEmpty();
  }
}
