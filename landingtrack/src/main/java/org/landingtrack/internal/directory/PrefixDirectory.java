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
package org.landingtrack.internal.directory;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingtrack.internal.peer.Messages.Fact;
import org.landingtrack.internal.peer.Messages.Holder;

/**
 * Directory of the backend servers that hold the blocks of prompts, for the groups that this
 * controller owns. A group is the set of all prompts with the same first block.
 *
 * <p>All entries are hints: a wrong entry costs time but never correctness, and lost entries are
 * restored from the listings of the engines and store VMs. The number of groups and of blocks per
 * group is bounded. Thread-safe.
 */
public final class PrefixDirectory {
  private static final int MAX_BLOCKS_PER_GROUP = 4_096;

  private final Cache<String, Group> groups;

  /** Creates a directory for up to {@code maxGroups} groups; evicts rarely used groups. */
  public PrefixDirectory(int maxGroups) {
    this.groups = Caffeine.newBuilder().maximumSize(maxGroups).build();
  }

  /**
   * The location of a copy of a block.
   *
   * @param manifestId id of the manifest if the server is a store VM; empty for an engine
   */
  private record Location(String server, String manifestId) {}

  /** The block locations of one group. Thread-safe. */
  private static final class Group {
    private final Map<String, Set<Location>> locationsByKey = new HashMap<>();

    synchronized void apply(Fact fact) {
      Location location = new Location(fact.server(), fact.kept());
      if (fact.held()) {
        if (locationsByKey.size() < MAX_BLOCKS_PER_GROUP
            || locationsByKey.containsKey(fact.key())) {
          locationsByKey.computeIfAbsent(fact.key(), key -> new HashSet<>(2)).add(location);
        }
        return;
      }
      Set<Location> locations = locationsByKey.get(fact.key());
      if (locations != null && locations.remove(location) && locations.isEmpty()) {
        locationsByKey.remove(fact.key());
      }
    }

    /**
     * Returns the holders of a prefix of the chain, deepest first. The depth of a holder is the
     * number of blocks it holds without a gap, counted from the first block.
     */
    synchronized List<Holder> holders(List<String> chain) {
      Map<Location, Integer> depths = new HashMap<>();
      for (int i = 0; i < chain.size(); i++) {
        int depth = i;
        boolean found = false;
        for (Location location : locationsByKey.getOrDefault(chain.get(i), Set.of())) {
          if (depths.getOrDefault(location, 0) == depth) {
            depths.put(location, depth + 1);
            found = true;
          }
        }
        if (!found) {
          break;
        }
      }
      List<Holder> holders = new ArrayList<>(depths.size());
      depths.forEach(
          (location, depth) ->
              holders.add(new Holder(location.server, depth, location.manifestId)));
      holders.sort(Comparator.comparingInt(Holder::depth).reversed().thenComparing(Holder::server));
      return holders;
    }

    synchronized void dropServer(String server) {
      for (Set<Location> locations : locationsByKey.values()) {
        locations.removeIf(location -> location.server.equals(server));
      }
      locationsByKey.values().removeIf(Set::isEmpty);
    }
  }

  /**
   * Applies facts in order. Repeated facts have no effect, and neither has the removal of a block
   * that is not known.
   */
  public void apply(List<Fact> facts) {
    for (Fact fact : facts) {
      Group group = groups.get(fact.group(), key -> new Group());
      group.apply(fact);
    }
  }

  /**
   * Returns the servers that hold the longest prefixes of a chain of block keys, deepest first, at
   * most {@code limit}.
   */
  public List<Holder> holders(String groupKey, List<String> chain, int limit) {
    Group group = groups.getIfPresent(groupKey);
    if (group == null) {
      return List.of();
    }
    List<Holder> holders = group.holders(chain);
    return holders.size() <= limit ? holders : List.copyOf(holders.subList(0, limit));
  }

  /** Removes all entries of a server, before it is listed again or after it has disappeared. */
  public void dropServer(String server) {
    for (Group group : groups.asMap().values()) {
      group.dropServer(server);
    }
  }

  /** Returns the estimated number of groups. */
  public long size() {
    return groups.estimatedSize();
  }
}
