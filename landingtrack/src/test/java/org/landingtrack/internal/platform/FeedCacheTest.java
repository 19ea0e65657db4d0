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
package org.landingtrack.internal.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the cache for other VMs is bounded in size, and what it serves at its bounds. */
public final class FeedCacheTest {
  private static final int ENTRY_CHARS = 1_000_000;

  private FeedCache cache = new FeedCache();
  private ObjectFeed.Sink feed = cache.caching("config", new RecordingSink());

  /** Ignores what it receives. */
  private static final class RecordingSink implements ObjectFeed.Sink {
    @Override
    public void replaced(Listing all) {}

    @Override
    public void changed(Listing changes) {}

    @Override
    public void outageStarted() {}

    @Override
    public void recovered() {}
  }

  @BeforeMethod
  public void setUp() {
    cache = new FeedCache();
    feed = cache.caching("config", new RecordingSink());
  }

  private static StoredObject object(String name, long revision, int chars) {
    return new StoredObject("config/" + name, revision, revision, "x".repeat(chars));
  }

  /** Guards against a heap filled by one large object that is written again and again. */
  @Test
  public void repeatedChangesOfALargeObjectAreNotAllKept() {
    feed.replaced(new Listing(0, List.of()));
    for (int revision = 1; revision <= 200; revision++) {
      feed.changed(new Listing(revision, List.of(object("main", revision, ENTRY_CHARS))));
    }
    assertTrue(cache.keptChars() < 10L * ENTRY_CHARS, "kept: " + cache.keptChars());
    assertTrue(cache.changesSince("config", 1).isEmpty());
    assertEquals(cache.changesSince("config", 199).orElseThrow().objects().size(), 1);
    assertEquals(cache.snapshot("config").orElseThrow().revision(), 200);
  }

  /** A VM that cannot be served from here reads the store itself. */
  @Test
  public void kindOfTooManyLargeObjectsIsNotServed() {
    feed.replaced(new Listing(0, List.of()));
    for (int revision = 1; revision <= 100; revision++) {
      feed.changed(new Listing(revision, List.of(object("o" + revision, revision, ENTRY_CHARS))));
    }
    assertTrue(cache.keptChars() < 30L * ENTRY_CHARS, "kept: " + cache.keptChars());
    assertTrue(cache.snapshot("config").isEmpty());
    assertEquals(cache.position("config").orElseThrow().revision(), 100);
    feed.replaced(new Listing(101, List.of(object("main", 101, 10))));
    assertEquals(cache.snapshot("config").orElseThrow().objects().size(), 1);
    assertTrue(cache.changesSince("config", 100).isEmpty());
  }

  @Test
  public void rejectedObjectsAreReportedAsChangesButNotKept() {
    feed.replaced(new Listing(0, List.of(object("a", 0, 5))));
    StoredObject rejected = new StoredObject("config/a", 1, 1, StoredObject.rejection("odd"));
    feed.changed(new Listing(1, List.of(rejected)));
    assertTrue(cache.snapshot("config").orElseThrow().objects().isEmpty());
    assertEquals(cache.changesSince("config", 0).orElseThrow().objects(), List.of(rejected));
    assertFalse(rejected.isRemoved());
  }
}
