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
package org.landingtrack.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingtrack.internal.base.Ticker;

/**
 * Prefix cache of an engine: a bounded set of blocks with LRU eviction. Among blocks that were used
 * together, the deepest one (the one furthest from the start of the prompt) is evicted first.
 * Thread-safe.
 */
final class BlockCache {
  /** A cached block with the weight version that it was computed with. */
  private record Block(String group, String version, boolean corrupt) {}

  private final int capacity;
  private final EventLog events;
  private final LinkedHashMap<String, Block> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Long> pinnedUntilMs = new HashMap<>();
  private int versionViolations;
  private int corruptBlocksUsed;

  BlockCache(int capacity, EventLog events) {
    this.capacity = capacity;
    this.events = events;
  }

  /**
   * Returns the length of the longest cached prefix of the keys, marks these blocks as used and
   * unpins all the keys. The prefix ends before a block of another weight version, which counts as
   * a version violation.
   */
  synchronized int reuse(List<String> keys, String version) {
    int depth = 0;
    while (depth < keys.size() && blocks.containsKey(keys.get(depth))) {
      Block block = blocks.get(keys.get(depth));
      if (block != null && !block.version.equals(version)) {
        versionViolations++;
        break;
      }
      corruptBlocksUsed += block != null && block.corrupt ? 1 : 0;
      depth++;
    }
    touch(keys.subList(0, depth));
    keys.forEach(pinnedUntilMs::remove);
    return depth;
  }

  /** Marks blocks as used, the deepest one first, so that it is also evicted first. */
  private void touch(List<String> keys) {
    List<String> reversed = new ArrayList<>(keys);
    Collections.reverse(reversed);
    for (String key : reversed) {
      blocks.get(key);
    }
  }

  void put(List<String> keys, String version) {
    put(keys, version, Set.of());
  }

  /**
   * Adds blocks. Corrupt ones are marked as such, so that {@link #corruptBlocksUsed} counts their
   * later uses.
   */
  synchronized void put(List<String> keys, String version, Set<String> corruptKeys) {
    if (keys.isEmpty()) {
      return;
    }
    String group = keys.get(0);
    int count = Math.min(keys.size(), capacity);
    for (String key : keys.subList(0, count)) {
      if (blocks.put(key, new Block(group, version, corruptKeys.contains(key))) == null) {
        events.add(group, key, "", true);
      }
    }
    touch(keys.subList(0, count));
    evict(Ticker.SYSTEM.millis());
  }

  /** Evicts the least recently used blocks, pinned ones only if no others are left. */
  private void evict(long nowMs) {
    pinnedUntilMs.values().removeIf(until -> until <= nowMs);
    for (boolean skipPinned : new boolean[] {true, false}) {
      Iterator<Map.Entry<String, Block>> oldest = blocks.entrySet().iterator();
      while (blocks.size() > capacity && oldest.hasNext()) {
        Map.Entry<String, Block> candidate = oldest.next();
        if (skipPinned && pinnedUntilMs.containsKey(candidate.getKey())) {
          continue;
        }
        events.add(candidate.getValue().group, candidate.getKey(), "", false);
        pinnedUntilMs.remove(candidate.getKey());
        oldest.remove();
      }
    }
  }

  /**
   * Pins the cached blocks among the keys for the request that will use them. A pin ends when the
   * block is reused or after the given time.
   */
  synchronized void pin(List<String> keys, long durationMs) {
    for (String key : keys) {
      if (durationMs > 0 && blocks.containsKey(key)) {
        pinnedUntilMs.put(key, Ticker.SYSTEM.millis() + durationMs);
      }
    }
  }

  synchronized boolean contains(String key) {
    return blocks.containsKey(key);
  }

  synchronized void clear() {
    blocks.forEach((key, block) -> events.add(block.group, key, "", false));
    blocks.clear();
  }

  synchronized void appendEvents(ArrayNode out) {
    blocks.forEach((key, block) -> EventLog.add(out, block.group, key, "", true));
  }

  synchronized int corruptBlocksUsed() {
    return corruptBlocksUsed;
  }

  synchronized int versionViolations() {
    return versionViolations;
  }
}
