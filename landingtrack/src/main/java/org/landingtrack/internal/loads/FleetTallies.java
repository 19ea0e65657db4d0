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
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.GossipMessage.Kind;

/**
 * Sums the counters of one topic over all VMs. The counters travel in gossip messages from a VM to
 * its hub, between hubs, and from a hub to its VMs, as in {@link PeerLoads}. A sum is two or three
 * rounds old and lacks VMs whose messages do not arrive. Sums are computed on demand. A message
 * carries at most {@link TallyTopic#maxKeys} keys, ten times a second, with 9 bytes a key and 1 to
 * 9 bytes a count, whatever the number of VMs. Not thread-safe.
 */
public final class FleetTallies {
  private final PeerLoads peers;
  private final Ticker ticker;
  private final TallyTopic topic;
  private final Supplier<List<Tally>> own;
  private final Map<String, Report> reports = new HashMap<>();
  private Map<Long, Tally> others = Map.of();
  private Map<Long, Tally> reported = Map.of();
  private boolean outdated;
  private long summedAtMs;

  /** The last report of one VM. */
  private record Report(Kind kind, long atMs, List<Tally> tallies) {}

  /**
   * Creates sums without reports of other VMs.
   *
   * @param peers the message routes and the age limit of reports
   * @param own supplies the tallies of this VM; called in each round
   */
  public FleetTallies(PeerLoads peers, Ticker ticker, TallyTopic topic, Supplier<List<Tally>> own) {
    this.peers = peers;
    this.ticker = ticker;
    this.topic = topic;
    this.own = own;
  }

  /**
   * Applies the latest message of a VM. A topic that the message lacks has no tallies at that VM.
   */
  public static void receive(GossipMessage message, List<FleetTallies> topics) {
    for (FleetTallies each : topics) {
      List<Tally> tallies = List.of();
      for (TallyReport report : message.tallies()) {
        tallies = report.topic() == each.topic ? report.tallies() : tallies;
      }
      each.receive(message.sender().address(), message.kind(), tallies);
    }
  }

  /** Returns the tallies of several topics for a message of a kind. */
  public static List<TallyReport> createReports(Kind kind, List<FleetTallies> topics) {
    List<TallyReport> created = new ArrayList<>();
    for (FleetTallies each : topics) {
      List<Tally> tallies = each.createReports(kind);
      if (!tallies.isEmpty()) {
        created.add(new TallyReport(each.topic, tallies));
      }
    }
    return created;
  }

  private void receive(String sender, Kind kind, List<Tally> tallies) {
    long now = ticker.millis();
    reports.values().removeIf(report -> !peers.isFresh(report.atMs));
    if (!tallies.isEmpty() || reports.containsKey(sender)) {
      reports.put(sender, new Report(kind, now, tallies));
      outdated = true;
    }
  }

  private List<Tally> createReports(Kind kind) {
    List<Tally> counted = own.get();
    if (kind == Kind.OWN) {
      List<Tally> sent = largest(counted);
      reported = add(new HashMap<>(), sent);
      outdated = true;
      return sent;
    }
    Map<Long, Tally> sum = add(new HashMap<>(), counted);
    for (Report report : reports.values()) {
      boolean counts = report.kind == Kind.OWN || (kind == Kind.ALL && report.kind == Kind.GROUP);
      if (counts && peers.isFresh(report.atMs)) {
        add(sum, report.tallies);
      }
    }
    return largest(List.copyOf(sum.values()));
  }

  private List<Tally> largest(List<Tally> tallies) {
    if (tallies.size() <= topic.maxKeys()) {
      return tallies;
    }
    List<Tally> sorted = new ArrayList<>(tallies);
    sorted.sort(Comparator.comparingLong((Tally tally) -> tally.count(0)).reversed());
    return sorted.subList(0, topic.maxKeys());
  }

  /** Returns the sum of the other VMs for a key. */
  public Tally others(long key) {
    return others().getOrDefault(key, Tally.empty(key));
  }

  /** Returns the sums of the other VMs by key. */
  public Map<Long, Tally> others() {
    long now = ticker.millis();
    if (outdated || now - summedAtMs >= PeerLoads.ROUND_MS) {
      outdated = false;
      summedAtMs = now;
      others = sumOfOthers();
    }
    return others;
  }

  /**
   * Returns the sum over the other VMs: at a hub, over its VMs and the groups of other hubs; at a
   * VM with a hub, the latest total from the hub without the tallies of this VM.
   */
  private Map<Long, Tally> sumOfOthers() {
    Map<Long, Tally> sum = new HashMap<>();
    Report latest = null;
    for (Report report : reports.values()) {
      if (!peers.isFresh(report.atMs)) {
        continue;
      }
      if (report.kind == Kind.ALL) {
        latest = latest == null || report.atMs > latest.atMs ? report : latest;
      } else {
        add(sum, report.tallies);
      }
    }
    return latest == null || peers.isHub() ? sum : minusOwn(latest);
  }

  private Map<Long, Tally> minusOwn(Report all) {
    Map<Long, Tally> sum = add(new HashMap<>(), all.tallies);
    for (Tally tally : reported.values()) {
      sum.computeIfPresent(tally.key(), (key, sumOfKey) -> sumOfKey.minus(tally));
    }
    return sum;
  }

  private static Map<Long, Tally> add(Map<Long, Tally> sum, List<Tally> tallies) {
    for (Tally tally : tallies) {
      @Nullable Tally before = sum.get(tally.key());
      sum.put(tally.key(), before == null ? tally : before.plus(tally));
    }
    return sum;
  }
}
