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
 * Which backend servers hold which blocks, for the prompts whose group this controller owns.
 *
 * <p>All of it is a hint: a wrong entry costs time, never correctness, and what is lost comes back
 * from the engines' and store VMs' own listings. Bounded by groups and by blocks in a group.
 * Thread-safe.
 */
public final class PrefixDirectory {
  private static final int MAX_BLOCKS_PER_GROUP = 4_096;

  private final Cache<String, Group> groups;

  /** Creates a directory for so many groups; the least recently used ones are forgotten. */
  public PrefixDirectory(int maxGroups) {
    this.groups = Caffeine.newBuilder().maximumSize(maxGroups).build();
  }

  /** Where a copy is: the server, and the manifest if it is kept in a store VM. */
  private record Place(String server, String kept) {}

  private static final class Group {
    private final Map<String, Set<Place>> placesByKey = new HashMap<>();

    synchronized void apply(Fact fact) {
      Place place = new Place(fact.server(), fact.kept());
      if (fact.held()) {
        if (placesByKey.size() < MAX_BLOCKS_PER_GROUP || placesByKey.containsKey(fact.key())) {
          placesByKey.computeIfAbsent(fact.key(), key -> new HashSet<>(2)).add(place);
        }
        return;
      }
      Set<Place> places = placesByKey.get(fact.key());
      if (places != null && places.remove(place) && places.isEmpty()) {
        placesByKey.remove(fact.key());
      }
    }

    /** A place counts as far as it holds every block from the first on. */
    synchronized List<Holder> holders(List<String> chain) {
      Map<Place, Integer> depths = new HashMap<>();
      for (int i = 0; i < chain.size(); i++) {
        int depth = i;
        boolean any = false;
        for (Place place : placesByKey.getOrDefault(chain.get(i), Set.of())) {
          if (depths.getOrDefault(place, 0) == depth) {
            depths.put(place, depth + 1);
            any = true;
          }
        }
        if (!any) {
          break;
        }
      }
      List<Holder> holders = new ArrayList<>(depths.size());
      depths.forEach((place, depth) -> holders.add(new Holder(place.server, depth, place.kept)));
      holders.sort(Comparator.comparingInt(Holder::depth).reversed().thenComparing(Holder::server));
      return holders;
    }

    synchronized void dropServer(String server) {
      for (Set<Place> places : placesByKey.values()) {
        places.removeIf(place -> place.server.equals(server));
      }
      placesByKey.values().removeIf(Set::isEmpty);
    }
  }

  /** Takes in facts. */
  public void apply(List<Fact> facts) {
    for (Fact fact : facts) {
      Group group = groups.get(fact.group(), key -> new Group());
      group.apply(fact);
    }
  }

  /** Returns who holds the longest part of a chain, deepest first, {@code limit} at most. */
  public List<Holder> holders(String groupKey, List<String> chain, int limit) {
    Group group = groups.getIfPresent(groupKey);
    if (group == null) {
      return List.of();
    }
    List<Holder> holders = group.holders(chain);
    return holders.size() <= limit ? holders : List.copyOf(holders.subList(0, limit));
  }

  /** Forgets everything about a server, before it is listed anew or when it is gone. */
  public void dropServer(String server) {
    for (Group group : groups.asMap().values()) {
      group.dropServer(server);
    }
  }

  /** Returns the number of groups, by estimate. */
  public long size() {
    return groups.estimatedSize();
  }
}
