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
 * The membership protocol without its sockets: each period one random member is probed; if it does
 * not answer, others probe it; then it is suspected, and dead unless it refutes that with a higher
 * incarnation. News travel on the probes, each a limited number of times, so that a member's cost
 * does not grow with the number of members.
 *
 * <p>Views may differ between members. Nothing that must be exclusive rests on them. Not
 * thread-safe; times are given by the caller in milliseconds of a monotonic clock.
 */
public final class Membership {
  private static final int INDIRECT_PROBES = 3;
  private static final int UPDATES_PER_PROBE = 8;
  private static final int SUSPICION_PERIODS = 4;
  private static final int FORGET_PERIODS = 600;
  private static final int RESCUE_EVERY_PERIODS = 10;

  private final RandomGenerator random;
  private final long periodMs;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Long> changedAtMs = new HashMap<>();
  private final Map<String, Integer> timesToSend = new HashMap<>();
  private final List<String> round = new ArrayList<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private Member self;
  private long sequence;
  private long ticks;
  private String probedVm = "";
  private long probedSequence = -1;
  private boolean answered = true;

  private record Relay(String address, long sequence, long atMs) {}

  /** Creates the protocol for one member. */
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

  /** Returns all known members, the dead ones too, in order of name. */
  public List<Member> members() {
    List<Member> list = new ArrayList<>(members.values());
    list.sort(Comparator.comparing(Member::vm));
    return list;
  }

  /** Takes in members from a list that may be old, such as the platform's VM list. */
  public void seed(Collection<Member> seeds, long nowMs) {
    for (Member seed : seeds) {
      if (!members.containsKey(seed.vm())) {
        learn(seed, nowMs);
      }
    }
  }

  /** Runs one period and returns the datagrams to send. */
  public List<Outgoing> tick(long nowMs) {
    ticks++;
    List<Outgoing> out = new ArrayList<>();
    concludeProbe(nowMs);
    expire(nowMs);
    relays.values().removeIf(relay -> nowMs - relay.atMs > 2 * periodMs);
    Member next = nextToProbe();
    if (next == null) {
      return out;
    }
    probedVm = next.vm();
    probedSequence = ++sequence;
    answered = false;
    out.add(new Outgoing(next.address(), probe(Probe.Type.PING, probedSequence, "", next.vm())));
    return out;
  }

  /** Runs the second half of a period: asks others to probe a member that has not answered. */
  public List<Outgoing> halfTick() {
    List<Outgoing> out = new ArrayList<>();
    Member target = members.get(probedVm);
    if (answered || target == null) {
      return out;
    }
    List<Member> helpers = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.isUsable() && !member.vm().equals(self.vm()) && !member.vm().equals(probedVm)) {
        helpers.add(member);
      }
    }
    for (int i = 0; i < INDIRECT_PROBES && !helpers.isEmpty(); i++) {
      Member helper = helpers.remove(random.nextInt(helpers.size()));
      out.add(
          new Outgoing(
              helper.address(),
              probe(Probe.Type.PING_REQUEST, probedSequence, target.address(), helper.vm())));
    }
    return out;
  }

  /** Takes in a datagram and returns the answers to send. */
  public List<Outgoing> receive(Probe probe, long nowMs) {
    List<Outgoing> out = new ArrayList<>();
    learn(probe.from(), nowMs);
    for (Member update : probe.updates()) {
      learn(update, nowMs);
    }
    switch (probe.type()) {
      case PING ->
          out.add(
              new Outgoing(
                  probe.from().address(),
                  probe(Probe.Type.ACK, probe.sequence(), "", probe.from().vm())));
      case PING_REQUEST -> {
        long own = ++sequence;
        relays.put(own, new Relay(probe.from().address(), probe.sequence(), nowMs));
        out.add(new Outgoing(probe.target(), probe(Probe.Type.PING, own, "", "")));
      }
      case ACK -> {
        if (probe.sequence() == probedSequence) {
          answered = true;
        }
        Relay relay = relays.remove(probe.sequence());
        if (relay != null) {
          out.add(new Outgoing(relay.address, probe(Probe.Type.ACK, relay.sequence, "", "")));
        }
      }
    }
    return out;
  }

  /** Leaves on purpose; returns the datagrams that tell some others. */
  public List<Outgoing> leave() {
    self = self.with(State.LEFT, self.incarnation() + 1);
    members.put(self.vm(), self);
    announce(self.vm());
    List<Outgoing> out = new ArrayList<>();
    for (Member member : members.values()) {
      if (out.size() < UPDATES_PER_PROBE && member.state() == State.ALIVE) {
        out.add(
            new Outgoing(member.address(), probe(Probe.Type.PING, ++sequence, "", member.vm())));
      }
    }
    return out;
  }

  private void concludeProbe(long nowMs) {
    Member probed = members.get(probedVm);
    if (!answered && probed != null && probed.state() == State.ALIVE) {
      put(probed.with(State.SUSPECT, probed.incarnation()), nowMs);
    }
  }

  private void expire(long nowMs) {
    for (Member member : List.copyOf(members.values())) {
      long age = nowMs - changedAtMs.getOrDefault(member.vm(), nowMs);
      if (member.state() == State.SUSPECT && age >= SUSPICION_PERIODS * periodMs) {
        put(member.with(State.DEAD, member.incarnation()), nowMs);
      } else if (!member.isUsable() && age >= FORGET_PERIODS * periodMs) {
        members.remove(member.vm());
        changedAtMs.remove(member.vm());
        timesToSend.remove(member.vm());
      }
    }
  }

  private void learn(Member news, long nowMs) {
    if (news.vm().equals(self.vm())) {
      refute(news);
      return;
    }
    Member known = members.get(news.vm());
    if (known == null || news.overrides(known)) {
      put(news, nowMs);
    }
  }

  private void refute(Member news) {
    boolean accused = news.state() != State.ALIVE && self.state() == State.ALIVE;
    if (news.incarnation() > self.incarnation()
        || (accused && news.incarnation() == self.incarnation())) {
      self = self.with(self.state(), news.incarnation() + 1);
      members.put(self.vm(), self);
      announce(self.vm());
    }
  }

  private void put(Member member, long nowMs) {
    members.put(member.vm(), member);
    changedAtMs.put(member.vm(), nowMs);
    announce(member.vm());
  }

  private void announce(String vm) {
    int spread = 3 * (32 - Integer.numberOfLeadingZeros(members.size() + 1));
    timesToSend.put(vm, spread);
  }

  /**
   * Makes a datagram. A receiver that is not thought alive is always told so: it may be back, and
   * only it can refute that, long after the news of its death have stopped travelling.
   */
  private Probe probe(Probe.Type type, long number, String target, String receiver) {
    List<Member> updates = updates();
    Member view = members.get(receiver);
    if (view != null && view.state() != State.ALIVE && !updates.contains(view)) {
      updates.add(view);
    }
    return new Probe(type, number, self, target, updates);
  }

  private List<Member> updates() {
    List<String> names = new ArrayList<>(timesToSend.keySet());
    names.sort(
        Comparator.comparingInt((String vm) -> -timesToSend.getOrDefault(vm, 0))
            .thenComparing(Comparator.naturalOrder()));
    List<Member> updates = new ArrayList<>();
    for (String vm : names) {
      if (updates.size() == UPDATES_PER_PROBE) {
        break;
      }
      Member member = members.get(vm);
      if (member != null) {
        updates.add(member);
      }
      timesToSend.computeIfPresent(vm, (k, left) -> left <= 1 ? null : left - 1);
    }
    return updates;
  }

  /** Visits the usable members in random order; now and then a dead one, to heal a partition. */
  private @Nullable Member nextToProbe() {
    if (ticks % RESCUE_EVERY_PERIODS == 0) {
      List<Member> dead = new ArrayList<>();
      for (Member member : members.values()) {
        if (member.state() == State.DEAD) {
          dead.add(member);
        }
      }
      if (!dead.isEmpty()) {
        return dead.get(random.nextInt(dead.size()));
      }
    }
    while (true) {
      if (round.isEmpty() && !refillRound()) {
        return null;
      }
      Member next = members.get(round.remove(round.size() - 1));
      if (next != null && next.isUsable() && !next.vm().equals(self.vm())) {
        return next;
      }
    }
  }

  private boolean refillRound() {
    for (Member member : members.values()) {
      if (member.isUsable() && !member.vm().equals(self.vm())) {
        round.add(random.nextInt(round.size() + 1), member.vm());
      }
    }
    return !round.isEmpty();
  }
}
