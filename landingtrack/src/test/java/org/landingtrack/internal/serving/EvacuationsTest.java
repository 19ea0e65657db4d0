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
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests evacuated data centres, and servers that are cold afterwards, as one VM decides. */
public final class EvacuationsTest {
  private static final String FIRST_DATA_CENTRE = "dc-1";
  private static final String SECOND_DATA_CENTRE = "dc-2";
  private static final long COLD_START_MS = 400;

  private ServingFixture world;

  @BeforeMethod
  public void create() {
    world = new ServingFixture();
    configure(2, 0.5);
  }

  private void configure(long version, double coldPerSecond) {
    ServingConfig before = ServingFixture.config(version, "plain");
    ServiceInfo plain =
        new ServiceInfo("plain", "/health", 100, null, coldPerSecond, COLD_START_MS);
    world.state.configure(
        new ServingConfig(
            version,
            List.of(
                before.route("host", "/safe/").orElseThrow(),
                before.route("host", "/chat/").orElseThrow()),
            Map.of("plain", plain, "engines", before.services().get("engines")),
            ApiKeys.required(Map.of(ServingFixture.KEY, new Team("team-1", false, -1))),
            CallerLimits.DEFAULT,
            List.of()),
        version);
  }

  private String dataCentreOfLast() {
    Backend backend = world.book.find(world.transport.last().call.serverId());
    return backend == null ? "" : backend.entry().dataCentre();
  }

  @Test
  public void requestsInFlightContinueAndNewOnesAvoidDataCentre() {
    RecordingSink running = world.serve("/safe/x");
    assertEquals(dataCentreOfLast(), FIRST_DATA_CENTRE);
    world.state.evacuations().begin(FIRST_DATA_CENTRE);
    assertFalse(world.transport.last().cancelled);
    world.transport.last().answer(200, "done");
    assertEquals(running.log.toString(), "answer 200 done");
    world.serve("/safe/x");
    assertEquals(dataCentreOfLast(), SECOND_DATA_CENTRE);
  }

  /** The retry of a request that failed there is routed like any other attempt. */
  @Test
  public void retryAvoidsEvacuatedDataCentre() {
    world.serve("/safe/x");
    world.state.evacuations().begin(FIRST_DATA_CENTRE);
    world.transport.last().answer(500, "");
    assertEquals(world.transport.sends.size(), 2);
    assertEquals(dataCentreOfLast(), SECOND_DATA_CENTRE);
  }

  @Test
  public void requestWithoutServerIsRefusedImmediately() {
    world.state.evacuations().begin(FIRST_DATA_CENTRE);
    world.state.evacuations().begin(SECOND_DATA_CENTRE);
    RecordingSink refused = world.serve("/safe/x");
    assertEquals(refused.log.toString(), "refused NO_BACKEND_SERVER");
    assertTrue(refused.retryAfterMs > 0);
    assertEquals(world.transport.sends.size(), 0);
  }

  /**
   * Servers may have turned cold shortly before, so each VM treats them as cold at first and uses
   * only its share of their capacity.
   */
  @Test
  public void serversAreColdAfterEvacuationEnds() {
    world.state.evacuations().begin(FIRST_DATA_CENTRE);
    world.state.evacuations().begin(SECOND_DATA_CENTRE);
    world.state.evacuations().end(FIRST_DATA_CENTRE);
    RecordingSink first = world.serve("/safe/x");
    assertEquals(
        world.transport.sends.size(), 0, "this VM knows no other VMs, so its share is tiny");
    assertEquals(first.log.toString(), "");
    world.loop.advance(COLD_START_MS + 100);
    assertEquals(world.transport.sends.size(), 1);
    assertEquals(dataCentreOfLast(), FIRST_DATA_CENTRE);
  }

  /** A request that cannot be served in time is not queued. */
  @Test
  public void requestThatColdServersCannotServeInTimeIsRefused() {
    for (String id : List.of("p1", "p2")) {
      world.book.put(cold(ServingFixture.plain(id, FIRST_DATA_CENTRE)), 3);
    }
    world.state.evacuations().begin(SECOND_DATA_CENTRE);
    RecordingSink refused = world.serve("/safe/x");
    assertEquals(refused.log.toString(), "refused NO_BACKEND_SERVER");
  }

  private static ServerEntry cold(ServerEntry entry) {
    return new ServerEntry(
        entry.id(),
        entry.service(),
        entry.address(),
        entry.dataCentre(),
        entry.slots(),
        false,
        60_000,
        entry.weightVersions());
  }

  /** The store lost its latest changes; operators write them again within seconds. */
  @Test
  public void evacuationMissingFromOlderStoreStaysTemporarily() {
    world.state.evacuations().replaceAll(Set.of(FIRST_DATA_CENTRE), false);
    world.state.evacuations().replaceAll(Set.of(), true);
    world.loop.advance(5_000);
    assertTrue(world.state.evacuations().checkEvacuated(FIRST_DATA_CENTRE));
    world.loop.advance(10_000);
    assertFalse(world.state.evacuations().checkEvacuated(FIRST_DATA_CENTRE));
  }

  @Test
  public void rewrittenEvacuationStaysUntilItEnds() {
    world.state.evacuations().replaceAll(Set.of(FIRST_DATA_CENTRE), false);
    world.state.evacuations().replaceAll(Set.of(), true);
    world.state.evacuations().begin(FIRST_DATA_CENTRE);
    world.loop.advance(20_000);
    assertTrue(world.state.evacuations().checkEvacuated(FIRST_DATA_CENTRE));
    world.state.evacuations().replaceAll(Set.of(), false);
    assertFalse(world.state.evacuations().checkEvacuated(FIRST_DATA_CENTRE));
  }

  @Test
  public void vmIsNotReadyBeforeEvacuationsAreRead() {
    world.state.evacuations().awaitList();
    assertEquals(world.serve("/safe/x").log.toString(), "refused NOT_READY");
    world.state.evacuations().replaceAll(Set.of(FIRST_DATA_CENTRE), false);
    world.serve("/safe/x");
    assertEquals(dataCentreOfLast(), SECOND_DATA_CENTRE);
  }
}
