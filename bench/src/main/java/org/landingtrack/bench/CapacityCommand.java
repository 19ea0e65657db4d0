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
 * Measures the slopes that {@code docs/CAPACITY.md} is worked out from: state, message sizes and
 * processor time of each role's parts, at several sizes, inside one process.
 */
final class CapacityCommand {
  private static final int BLOCKS = 20;
  private static final int PERIODS = 60;
  private static final long PERIOD_MS = 1_000;

  private CapacityCommand() {}

  static int run() throws JsonProcessingException {
    ObjectNode report = Json.LENIENT.createObjectNode();
    configuration(report.putArray("configuration"));
    membership(report.putArray("membership"));
    directory(report.putArray("directory"));
    claims(report.putArray("claims"));
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

  /** Heap of an object, and time and bytes of one change, by the number of objects. */
  private static void configuration(ArrayNode out) throws JsonProcessingException {
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
      long began = System.nanoTime();
      for (int i = 0; i < changes; i++) {
        revision++;
        ConfigEntry change = entry(i % objects, revision);
        replica.merge(revision - 1, new ConfigDelta(revision, List.of(change)));
      }
      double usPerChange = (System.nanoTime() - began) / 1e3 / changes;
      byte[] delta =
          MessagePack.MAPPER.writeValueAsBytes(replica.deltaAfter(replica.revision() - 1));
      out.addObject()
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

  /** Bytes and time of a member in a period, by the number of members, with 1 in 300 restarting. */
  private static void membership(ArrayNode out) throws JsonProcessingException {
    for (int size : new int[] {10, 60, 206, 620}) {
      Map<String, Membership> network = new HashMap<>();
      List<Member> all = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        all.add(member(i, 1));
      }
      for (Member self : all) {
        Membership one = new Membership(self, PERIOD_MS, new SplittableRandom(all.indexOf(self)));
        one.seed(all, 0);
        network.put(self.address(), one);
      }
      long bytes = 0;
      long began = System.nanoTime();
      for (int period = 1; period <= PERIODS; period++) {
        int restarted = period % size;
        network.put("a" + restarted, restart(restarted, period + 1, all, period * PERIOD_MS));
        for (String address : List.copyOf(network.keySet())) {
          Membership one = network.get(address);
          if (one != null) {
            bytes += deliver(network, one.tick(period * PERIOD_MS), period * PERIOD_MS);
          }
        }
      }
      double us = (System.nanoTime() - began) / 1e3;
      out.addObject()
          .put("members", size)
          .put("bytes_per_member_and_second", bytes / (double) size / PERIODS)
          .put("us_per_member_and_second", us / size / PERIODS);
    }
  }

  private static Member member(int number, long incarnation) {
    return new Member(
        "entry-" + number, "dc-1", "region-1", "a" + number, Member.State.ALIVE, incarnation);
  }

  private static Membership restart(int number, long incarnation, List<Member> all, long nowMs) {
    Membership one =
        new Membership(
            member(number, incarnation), PERIOD_MS, new SplittableRandom(number + incarnation));
    one.seed(all, nowMs);
    return one;
  }

  /** Delivers datagrams with their answers; returns the bytes, headers of IP and UDP included. */
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

  /** Heap of a group, time of a fact and of a lookup, bytes of their messages. */
  private static void directory(ArrayNode out) throws JsonProcessingException {
    for (int groups : new int[] {1_000, 6_000, 12_000}) {
      long before = usedHeap();
      PrefixDirectory directory = new PrefixDirectory(200_000);
      long began = System.nanoTime();
      for (int g = 0; g < groups; g++) {
        directory.apply(facts(g));
      }
      double usPerFact = (System.nanoTime() - began) / 1e3 / groups / BLOCKS;
      long heap = usedHeap() - before;
      int lookups = 5_000;
      began = System.nanoTime();
      int found = 0;
      for (int i = 0; i < lookups; i++) {
        int g = i % groups;
        found += directory.holders(key(g, 0), chain(g), 8).size();
      }
      double usPerLookup = (System.nanoTime() - began) / 1e3 / lookups;
      HoldersQuery query = new HoldersQuery("service", key(0, 0), chain(0));
      out.addObject()
          .put("groups", groups)
          .put("blocks_per_group", BLOCKS)
          .put("found", found)
          .put("heap_bytes_per_group", heap / groups)
          .put("us_per_fact", usPerFact)
          .put("us_per_lookup_with_keys", usPerLookup)
          .put("bytes_per_lookup", MessagePack.MAPPER.writeValueAsBytes(query).length)
          .put(
              "bytes_per_fact",
              MessagePack.MAPPER.writeValueAsBytes(new FactsUpdate(facts(0))).length / BLOCKS);
    }
  }

  private static String key(int group, int block) {
    return Hashes.sha256Hex(group + "/" + block).substring(0, 32);
  }

  private static List<String> chain(int group) {
    List<String> chain = new ArrayList<>();
    for (int b = 0; b < BLOCKS; b++) {
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

  /** Size and time of a shard's commit, by the claims that it holds. */
  private static void claims(ArrayNode out) {
    for (int held : new int[] {1_000, 4_000, 7_900}) {
      List<ClaimShard.Wish> wishes = new ArrayList<>();
      for (int i = 0; i < held; i++) {
        wishes.add(
            new ClaimShard.Wish(
                Hashes.sha256Hex("k" + i).substring(0, 32), "entry-12.0123456789abcdef01"));
      }
      ClaimShard shard = ClaimShard.empty().decide(wishes, 1_700_000_000_000L).next();
      int commits = 30;
      long began = System.nanoTime();
      long bytes = 0;
      for (int i = 0; i < commits; i++) {
        ClaimShard.Wish wish = new ClaimShard.Wish("new" + i, "entry-1.1");
        bytes += Json.write(shard.decide(List.of(wish), 1_700_000_000_001L).next()).length();
      }
      out.addObject()
          .put("claims_held", held)
          .put("bytes_per_claim", bytes / commits / held)
          .put("ms_per_commit_without_the_platform", (System.nanoTime() - began) / 1e6 / commits);
    }
  }
}
