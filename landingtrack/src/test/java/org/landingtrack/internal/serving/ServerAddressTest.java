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
package org.landingtrack.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a later server at an address proves that the earlier one ended. */
public final class ServerAddressTest {
  private ServingFixture world = new ServingFixture();

  @BeforeMethod
  public void createWorld() {
    world = new ServingFixture();
    world.loop.advance(10_000);
    world.book.replaceAll(List.of(engineAt("old", "10.0.0.1:80")), 5);
  }

  private static ServerEntry engineAt(String id, String address) {
    Map<String, Long> weights = Map.of(ServingFixture.MODEL, 1L);
    return new ServerEntry(id, "engines", address, "dc-1", 8, false, 0, weights);
  }

  private static ServerEntry entryOf(String id, String service) {
    return new ServerEntry(id, service, "10.0.0.1:80", "dc-1", 8, false, 0, Map.of());
  }

  private String chooseServer() {
    world.serve("/chat/x");
    return world.transport.last().call.serverId();
  }

  @Test
  public void earlierServerAtAddressGetsNoRequest() {
    world.book.put(engineAt("new", "10.0.0.1:80"), 6);
    for (int i = 0; i < 10; i++) {
      assertEquals(chooseServer(), "new");
    }
  }

  /**
   * The connections of the earlier server may stay silent, so that its requests would wait for
   * their deadline.
   */
  @Test
  public void requestsAtEarlierServerEndAsAfterCrash() {
    RecordingSink caller = world.serve("/chat/x");
    assertEquals(world.transport.last().call.serverId(), "old");
    world.book.put(engineAt("new", "10.0.0.1:80"), 6);
    assertEquals(world.transport.last().call.serverId(), "new");
    assertEquals(world.transport.droppedServerIds, List.of("old"));
    assertTrue(caller.log.isEmpty());
  }

  @Test
  public void serversAtOtherAddressesAreUnaffected() {
    world.book.put(engineAt("new", "10.0.0.2:80"), 6);
    world.book.remove("new", 7);
    assertEquals(chooseServer(), "old");
  }

  /** An entry in the same list as another is not known to be the later one. */
  @Test
  public void listDoesNotEndServer() {
    world.book.replaceAll(
        List.of(engineAt("new", "10.0.0.1:80"), engineAt("old", "10.0.0.1:80")), 6);
    world.book.remove("new", 7);
    assertEquals(chooseServer(), "old");
  }

  @Test
  public void olderStoreCopyDoesNotEndServer() {
    world.book.onStoreRolledBack();
    world.book.put(engineAt("gone", "10.0.0.1:80"), 6);
    world.book.remove("gone", 7);
    assertEquals(chooseServer(), "old");
  }

  /** Guards against a sound server that got no request: an unknown service had its address. */
  @Test
  public void entryOfAnUnknownServiceEndsNoServer() {
    world.book.put(entryOf("unknown", "never-configured"), 6);
    assertEquals(chooseServer(), "old");
    world.book.remove("unknown", 7);
    assertEquals(chooseServer(), "old");
  }

  /** A VM may read the list of servers before the configuration. */
  @Test
  public void serverThatWasListedBeforeTheConfigurationIsEnded() {
    Set<String> configured = new HashSet<>();
    ServerRegistry registry =
        new ServerRegistry(world.loop, new StructuredDecisionLog(), 1_400, 2_500);
    registry.setConfiguredServices(configured::contains);
    registry.replaceAll(List.of(engineAt("old", "10.0.0.1:80")), 5);
    configured.add("engines");
    registry.put(engineAt("new", "10.0.0.1:80"), 6);
    assertTrue(registry.find("old").isReplaced());
  }

  @Test
  public void serverThatWasEndedComesBackByItsNextEntry() {
    world.book.put(engineAt("new", "10.0.0.1:80"), 6);
    assertEquals(chooseServer(), "new");
    world.book.remove("new", 7);
    world.book.put(engineAt("old", "10.0.0.1:80"), 8);
    assertEquals(chooseServer(), "old");
  }

  /** An entry from before the later server's proves nothing. */
  @Test
  public void serverThatWasEndedDoesNotComeBackByAnOlderEntry() {
    world.book.put(engineAt("new", "10.0.0.1:80"), 8);
    world.book.put(engineAt("old", "10.0.0.1:80"), 7);
    assertEquals(chooseServer(), "new");
  }

  @DataProvider
  public Object[][] seeds() {
    return IntStream.range(0, 300)
        .mapToObj(seed -> new Object[] {(long) seed})
        .toArray(Object[][]::new);
  }

  /**
   * Plays entries of unknown services, of earlier and later servers at the same address, removals,
   * lists and older copies of the store. A sound server is usable again once its entry is written.
   */
  @Test(dataProvider = "seeds")
  public void soundServerIsUsableOnceItsEntryIsWritten(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long revision = 6;
    for (int step = 0; step < 40; step++) {
      world.loop.advance(random.nextInt(3_000));
      revision++;
      String other = "other-" + random.nextInt(3);
      switch (random.nextInt(6)) {
        case 0 -> world.book.put(entryOf(other, "never-configured"), revision);
        case 1 -> world.book.put(engineAt(other, "10.0.0.1:80"), revision);
        case 2 -> world.book.remove(other, revision);
        case 3 -> {
          world.book.onStoreRolledBack();
          world.book.replaceAll(List.of(engineAt("old", "10.0.0.1:80")), revision);
          world.book.onStoreRecovered();
        }
        case 4 -> world.book.put(entryOf(other, "never-configured"), revision - 3);
        default -> world.book.put(engineAt("old", "10.0.0.1:80"), revision);
      }
    }
    for (int i = 0; i < 3; i++) {
      world.book.remove("other-" + i, ++revision);
    }
    world.book.put(engineAt("old", "10.0.0.1:80"), ++revision);
    assertEquals(chooseServer(), "old");
  }
}
