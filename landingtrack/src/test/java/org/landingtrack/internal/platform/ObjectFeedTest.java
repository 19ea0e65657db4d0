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
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks what a feed reads and which outages it reports. */
public final class ObjectFeedTest {
  private FakeObjectApi api = new FakeObjectApi();
  private List<String> events = new ArrayList<>();

  /** Numbers of changes reported after failures; -1 where the store no longer kept them. */
  private List<Integer> missed = new ArrayList<>();

  private ObjectFeed feed = newFeed();

  @BeforeMethod
  public void setUp() {
    api = new FakeObjectApi();
    events = new ArrayList<>();
    missed = new ArrayList<>();
    error = null;
    feed = newFeed();
  }

  /** Thrown once when a list is received. */
  private @Nullable Error error;

  private ObjectFeed newFeed() {
    return new ObjectFeed(
        api,
        "config",
        1_000,
        () -> 0,
        new Random(1),
        new FakeTicker(),
        new ObjectFeed.Sink() {
          @Override
          public void replaced(Listing all) {
            Error once = error;
            error = null;
            if (once != null) {
              throw once;
            }
            events.add("all " + all.objects().size() + " at " + all.revision());
          }

          @Override
          public void changed(Listing changes) {
            events.add("changed " + changes.objects().size() + " at " + changes.revision());
          }

          @Override
          public boolean needsAllChanges() {
            return true;
          }

          @Override
          public void interrupted(Listing changes) {
            missed.add(changes.objects().size());
          }

          @Override
          public void changesMissed() {
            missed.add(-1);
          }

          @Override
          public void outageStarted() {
            events.add("lost");
          }

          @Override
          public void recovered() {
            events.add("regained");
          }
        });
  }

  @Test
  public void listsThenWatches() {
    put("config/main", "1", ObjectApi.ABSENT);
    feed.readOnce();
    put("config/main", "2", 1);
    feed.readOnce();
    feed.readOnce();
    assertEquals(events, List.of("all 1 at 1", "changed 1 at 2"));
  }

  /**
   * A store that interrupted a watch may no longer keep the changes since then, so that the same
   * watch would receive nothing.
   */
  @Test
  public void listsAgainAfterAFailedWatch() {
    put("config/main", "1", ObjectApi.ABSENT);
    feed.readOnce();
    api.outage(true);
    assertThrows(PlatformException.class, feed::readOnce);
    api.outage(false);
    put("config/main", "2", 1);
    feed.readOnce();
    assertEquals(events, List.of("all 1 at 1", "all 1 at 2"));
  }

  /**
   * Guards against a single failed call being reported as a store outage. The VM's connection to
   * the store had gone silent while the store was available, and the first call on a new connection
   * succeeded. The feed reported a recovery, after which a missing entry may merely have expired,
   * so a server that left without notice got requests for up to 7.5 s after its entry was removed.
   * In an outage, more calls fail than the one whose connection was cut.
   */
  @Test
  public void singleFailureIsNoStoreOutage() {
    feed.runOnce();
    api.outage(true);
    feed.runOnce();
    api.outage(false);
    feed.runOnce();
    assertEquals(events, List.of("all 0 at 0", "all 0 at 0"));
  }

  /** Guards against a feed whose thread ends while its process goes on without new entries. */
  @Test
  public void feedListsAgainAfterAnError() {
    error = new OutOfMemoryError("simulated");
    assertTrue(feed.runOnce() > 0);
    feed.runOnce();
    assertEquals(events, List.of("all 0 at 0"));
  }

  @Test
  public void consecutiveFailuresAreReportedAsOneOutageAndOneRecovery() {
    feed.runOnce();
    api.outage(true);
    feed.runOnce();
    feed.runOnce();
    feed.runOnce();
    api.outage(false);
    feed.runOnce();
    feed.runOnce();
    assertEquals(events, List.of("all 0 at 0", "lost", "all 0 at 0", "regained"));
  }

  private void put(String key, String value, long version) {
    var unused = api.write(CallClass.CONFIGURATION, key, value, version);
  }

  @Test
  public void changesSinceTheLastReadAreReportedAfterAFailure() {
    put("config/main", "1", ObjectApi.ABSENT);
    feed.readOnce();
    feed.readOnce();
    api.outage(true);
    assertThrows(PlatformException.class, feed::readOnce);
    assertThrows(PlatformException.class, feed::readOnce);
    api.outage(false);
    put("config/main", "2", 1);
    feed.readOnce();
    assertEquals(missed, List.of(1));
  }

  /** Guards against a feed that requests the same changes, more than it reads, for ever. */
  @Test
  public void tooManyChangesAreReadAsAList() {
    put("config/main", "1", ObjectApi.ABSENT);
    feed.runOnce();
    put("config/main", "2", 1);
    api.failWatches(PlatformException.Reason.TOO_LARGE);
    assertEquals(feed.runOnce(), 0);
    assertEquals(feed.runOnce(), 0);
    assertEquals(events, List.of("all 1 at 1", "all 1 at 2"));
    assertEquals(missed, List.of(-1));
  }

  @Test
  public void changesThatTheStoreNoLongerKeepsAreReportedAsMissed() {
    put("config/main", "1", ObjectApi.ABSENT);
    feed.readOnce();
    put("config/main", "2", 1);
    api.forgetChanges();
    assertThrows(PlatformException.class, feed::readOnce);
    feed.readOnce();
    assertEquals(missed, List.of(-1));
  }
}
