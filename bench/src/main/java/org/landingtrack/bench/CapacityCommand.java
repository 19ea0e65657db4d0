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
package org.landingtrack.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.MessagePack;
import org.landingtrack.internal.catalog.BackendServer;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.StoredEntry;
import org.landingtrack.internal.claim.ClaimShard;
import org.landingtrack.internal.config.ConfigDelta;
import org.landingtrack.internal.config.ConfigEntry;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.directory.PrefixDirectory;
import org.landingtrack.internal.membership.Member;
import org.landingtrack.internal.membership.Membership;
import org.landingtrack.internal.membership.Probe;
import org.landingtrack.internal.peer.Messages.Fact;
import org.landingtrack.internal.peer.Messages.FactsUpdate;
import org.landingtrack.internal.peer.Messages.HoldersQuery;

/**
 * Measures what the estimates in {@code docs/CAPACITY.md} are computed from: memory, message sizes
 * and CPU time of the components of each role, at several sizes, inside one process.
 */
final class CapacityCommand {
  private static final int BLOCKS_PER_GROUP = 20;
  private static final int PERIOD_COUNT = 60;
  private static final long PERIOD_MS = 1_000;

  private CapacityCommand() {}

  static int run() throws JsonProcessingException {
    ObjectNode report = Json.LENIENT.createObjectNode();
    measureConfiguration(report.putArray("configuration"));
    measureMembership(report.putArray("membership"));
    measureDirectory(report.putArray("directory"));
    measureClaims(report.putArray("claims"));
    System.out.println(report);
    return 0;
  }

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Measures the heap per object, and the time and bytes of a change, by number of objects. */
  private static void measureConfiguration(ArrayNode results) throws JsonProcessingException {
    for (int objects : new int[] {1_000, 4_000, 14_000, 28_000}) {
      long before = usedHeap();
      ConfigReplica replica = new ConfigReplica();
      List<ConfigEntry> entries = new ArrayList<>();
      for (int i = 0; i < objects; i++) {
        entries.add(entry(i, i + 1));
      }
      replica.merge(0, new ConfigDelta(objects, entries));
      entries.clear();
      long heap = usedHeap() - before;
      int changes = 200;
      long revision = objects;
      long startNs = System.nanoTime();
      for (int i = 0; i < changes; i++) {
        revision++;
        ConfigEntry change = entry(i % objects, revision);
        replica.merge(revision - 1, new ConfigDelta(revision, List.of(change)));
      }
      double usPerChange = (System.nanoTime() - startNs) / 1e3 / changes;
      byte[] delta =
          MessagePack.MAPPER.writeValueAsBytes(replica.deltaAfter(replica.revision() - 1));
      results
          .addObject()
          .put("objects", objects)
          .put("heap_bytes_per_object", heap / objects)
          .put("us_per_change", usPerChange)
          .put("bytes_per_change_on_the_wire", delta.length);
    }
  }

  private static ConfigEntry entry(int number, long revision) {
    String name = "runner-" + number;
    BackendServer spec =
        new BackendServer("service-" + number % 15, "10.1.2.3:8000", "dc-1", 8, true, false);
    StoredEntry.Change change =
        new StoredEntry.Change(
            "5d449de5-6aa5-44ad-8514-66fcd59accd2",
            1_700_000_000_000L,
            "operator",
            "10.0.0.1",
            "create",
            1,
            null,
            Json.STRICT.valueToTree(spec));
    StoredEntry stored =
        new StoredEntry(
            Kind.BACKEND_SERVER, name, 1, Json.STRICT.valueToTree(spec), List.of(change));
    return new ConfigEntry(
        StoredEntry.key(Kind.BACKEND_SERVER, name), 1, revision, Json.write(stored));
  }

  /**
   * Measures bytes and time per member and second, by number of members. One member restarts in
   * each period of one second: 1 in 300 at a size of 300.
   */
  private static void measureMembership(ArrayNode results) throws JsonProcessingException {
    for (int size : new int[] {10, 60, 206, 620}) {
      Map<String, Membership> network = new HashMap<>();
      List<Member> all = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        all.add(member(i, 1));
      }
      for (Member self : all) {
        Membership membership =
            new Membership(self, PERIOD_MS, new SplittableRandom(all.indexOf(self)));
        membership.seed(all, 0);
        network.put(self.address(), membership);
      }
      long bytes = 0;
      long startNs = System.nanoTime();
      for (int period = 1; period <= PERIOD_COUNT; period++) {
        int restarted = period % size;
        network.put("a" + restarted, restart(restarted, period + 1, all, period * PERIOD_MS));
        for (String address : List.copyOf(network.keySet())) {
          Membership membership = network.get(address);
          if (membership != null) {
            bytes += deliver(network, membership.tick(period * PERIOD_MS), period * PERIOD_MS);
          }
        }
      }
      double elapsedUs = (System.nanoTime() - startNs) / 1e3;
      results
          .addObject()
          .put("members", size)
          .put("bytes_per_member_and_second", bytes / (double) size / PERIOD_COUNT)
          .put("us_per_member_and_second", elapsedUs / size / PERIOD_COUNT);
    }
  }

  private static Member member(int number, long incarnation) {
    return new Member(
        "entry-" + number, "dc-1", "region-1", "a" + number, Member.State.ALIVE, incarnation);
  }

  private static Membership restart(int number, long incarnation, List<Member> all, long nowMs) {
    Membership membership =
        new Membership(
            member(number, incarnation), PERIOD_MS, new SplittableRandom(number + incarnation));
    membership.seed(all, nowMs);
    return membership;
  }

  /**
   * Delivers datagrams and their replies. Returns the bytes, including 28 bytes of IP and UDP
   * headers per datagram.
   */
  private static long deliver(
      Map<String, Membership> network, List<Probe.Outgoing> outgoing, long nowMs)
      throws JsonProcessingException {
    long bytes = 0;
    for (Probe.Outgoing out : outgoing) {
      bytes += 28 + MessagePack.MAPPER.writeValueAsBytes(out.probe()).length;
      Membership receiver = network.get(out.address());
      if (receiver != null) {
        bytes += deliver(network, receiver.receive(out.probe(), nowMs), nowMs);
      }
    }
    return bytes;
  }

  /** Measures the heap per prefix group, and time and message bytes of a fact and a lookup. */
  private static void measureDirectory(ArrayNode results) throws JsonProcessingException {
    for (int groups : new int[] {1_000, 6_000, 12_000}) {
      long before = usedHeap();
      PrefixDirectory directory = new PrefixDirectory(200_000);
      long startNs = System.nanoTime();
      for (int g = 0; g < groups; g++) {
        directory.apply(facts(g));
      }
      double usPerFact = (System.nanoTime() - startNs) / 1e3 / groups / BLOCKS_PER_GROUP;
      long heap = usedHeap() - before;
      int lookups = 5_000;
      startNs = System.nanoTime();
      int found = 0;
      for (int i = 0; i < lookups; i++) {
        int g = i % groups;
        found += directory.holders(key(g, 0), chain(g), 8).size();
      }
      double usPerLookup = (System.nanoTime() - startNs) / 1e3 / lookups;
      HoldersQuery query = new HoldersQuery("service", key(0, 0), chain(0));
      results
          .addObject()
          .put("groups", groups)
          .put("blocks_per_group", BLOCKS_PER_GROUP)
          .put("found", found)
          .put("heap_bytes_per_group", heap / groups)
          .put("us_per_fact", usPerFact)
          .put("us_per_lookup_with_keys", usPerLookup)
          .put("bytes_per_lookup", MessagePack.MAPPER.writeValueAsBytes(query).length)
          .put(
              "bytes_per_fact",
              MessagePack.MAPPER.writeValueAsBytes(new FactsUpdate(facts(0))).length
                  / BLOCKS_PER_GROUP);
    }
  }

  private static String key(int group, int block) {
    return Hashes.sha256Hex(group + "/" + block).substring(0, 32);
  }

  private static List<String> chain(int group) {
    List<String> chain = new ArrayList<>();
    for (int b = 0; b < BLOCKS_PER_GROUP; b++) {
      chain.add(key(group, b));
    }
    return chain;
  }

  private static List<Fact> facts(int group) {
    List<Fact> facts = new ArrayList<>();
    for (String key : chain(group)) {
      facts.add(new Fact(key(group, 0), key, "runner-" + group % 300, "", true));
    }
    return facts;
  }

  /** Measures the size and time of a shard's commit, by number of claims in the shard. */
  private static void measureClaims(ArrayNode results) {
    for (int held : new int[] {1_000, 4_000, 7_900}) {
      List<ClaimShard.ClaimRequest> wishes = new ArrayList<>();
      for (int i = 0; i < held; i++) {
        wishes.add(
            new ClaimShard.ClaimRequest(
                Hashes.sha256Hex("k" + i).substring(0, 32), "entry-12.0123456789abcdef01"));
      }
      ClaimShard shard = ClaimShard.empty().decide(wishes, 1_700_000_000_000L).next();
      int commits = 30;
      long startNs = System.nanoTime();
      long bytes = 0;
      for (int i = 0; i < commits; i++) {
        ClaimShard.ClaimRequest wish = new ClaimShard.ClaimRequest("new" + i, "entry-1.1");
        bytes += Json.write(shard.decide(List.of(wish), 1_700_000_000_001L).next()).length();
      }
      results
          .addObject()
          .put("claims_held", held)
          .put("bytes_per_claim", bytes / commits / held)
          .put("ms_per_commit_without_the_platform", (System.nanoTime() - startNs) / 1e6 / commits);
    }
  }
}
