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

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which blocks {@link BlockCache} evicts when it is full. */
public final class BlockCacheTest {
  private static final long LONG_MS = 3_600_000;

  @DataProvider
  public Object[][] pins() {
    return new Object[][] {
      // pin duration, whether it is reused before the cache is full, whether it remains afterwards
      {0L, false, false},
      {LONG_MS, false, true},
      {LONG_MS, true, false},
    };
  }

  /** A pinned block is evicted after others, until the request that it is pinned for reused it. */
  @Test(dataProvider = "pins")
  public void pinnedBlocksAreEvictedLast(long pinMs, boolean used, boolean stays) {
    BlockCache cache = new BlockCache(2, new EventLog(new Faults()));
    cache.put(List.of("a"), "v1");
    cache.pin(List.of("a"), pinMs);
    if (used) {
      assertEquals(cache.reuse(List.of("a"), "v1"), 1);
    }
    cache.put(List.of("b"), "v1");
    cache.put(List.of("c"), "v1");
    assertEquals(cache.contains("a"), stays);
  }

  @Test
  public void pinsDoNotExceedTheCapacity() {
    BlockCache cache = new BlockCache(2, new EventLog(new Faults()));
    for (String key : List.of("a", "b", "c", "d")) {
      cache.put(List.of(key), "v1");
      cache.pin(List.of(key), LONG_MS);
    }
    long remaining = List.of("a", "b", "c", "d").stream().filter(cache::contains).count();
    assertEquals(remaining, 2);
  }
}
