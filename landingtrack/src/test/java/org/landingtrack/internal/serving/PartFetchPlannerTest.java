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
import java.util.Objects;
import org.landingtrack.internal.serving.PartFetchPlanner.FetchPlan;
import org.landingtrack.internal.serving.PartStore.StoreInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which fetches and saves {@link PartFetchPlanner} plans. */
public final class PartFetchPlannerTest {
  private static final String SLOW = "10.0.0.8:80";
  private static final Prompt PROMPT =
      new Prompt("m", 10, List.of(new Prompt.Part("a", 500), new Prompt.Part("own", 100)));

  private ManualEventLoop loop = new ManualEventLoop();
  private PartStores stores = new PartStores(loop, TestPartTransfers.emptyPeerLoads(loop));
  private Backend target = TestPartTransfers.engine("target");

  @BeforeMethod
  public void setUp() {
    loop = new ManualEventLoop();
    stores = new PartStores(loop, TestPartTransfers.emptyPeerLoads(loop));
    // 500 tokens of 18,432 bytes take 74 ms over this link.
    stores.configure(List.of(new StoreInfo("slow", SLOW, "dc-1", 10_000, 1_000, 0)));
    stores.replaceParts(SLOW, 1, loop.millis(), Map.of());
    target = TestPartTransfers.engine("target");
  }

  private FetchPlan plan(double patienceMs) {
    PartFetchPlanner sources = TestPartTransfers.fetchPlanner(stores, loop, "v1", PROMPT);
    return sources.plan(target, 0, patienceMs);
  }

  private void addPartToStore() {
    stores.applyChanges(SLOW, 1, loop.millis(), Map.of("v1/a", 500), List.of());
  }

  @Test
  public void aFetchThatTakesTooLongIsNotPlanned() {
    addPartToStore();
    assertEquals(plan(0).tokens(), 0, "prefill takes 10 ms");
    assertEquals(plan(100).tokens(), 500);
    for (int i = 0; i < 3; i++) {
      PartFetchPlanner sources = TestPartTransfers.fetchPlanner(stores, loop, "v1", PROMPT);
      sources.startTransfers(new Object(), target, sources.plan(target, 0, 400), 0);
    }
    assertEquals(plan(100).tokens(), 0, "the link is busy with other fetches");
  }

  @Test
  public void anEndedFetchFreesTheLink() {
    addPartToStore();
    Object request = new Object();
    PartFetchPlanner sources = TestPartTransfers.fetchPlanner(stores, loop, "v1", PROMPT);
    sources.startTransfers(request, target, sources.plan(target, 0, 400), 0);
    PartStore store = Objects.requireNonNull(stores.find(SLOW));
    assertTrue(stores.backlogMs(store) > 70);
    stores.endFetches(request);
    assertEquals(stores.backlogMs(store), 0.0);
  }

  /** No second store saves a part, even while the state of the store that has it has expired. */
  @Test
  public void aPartIsSavedToOneStoreOnly() {
    stores.configure(
        List.of(
            new StoreInfo("slow", SLOW, "dc-1", 10_000, 1_000, 0),
            new StoreInfo("second", "10.0.0.7:80", "dc-1", 10_000, 1_000, 0)));
    stores.replaceParts("10.0.0.7:80", 1, loop.millis(), Map.of());
    loop.advance(PartStore.VALIDITY_MS + 500);
    stores.applyChanges(SLOW, 1, loop.millis(), Map.of(), List.of());
    stores.applyChanges("10.0.0.7:80", 1, loop.millis(), Map.of(), List.of());
    assertTrue(TestPartTransfers.startTransfers(stores, loop, "v1", PROMPT).saves());
    assertFalse(
        TestPartTransfers.startTransfers(stores, loop, "v1", PROMPT).saves(),
        "the part is already being saved");
    stores.applyChanges(SLOW, 1, loop.millis(), Map.of("v1/a", 500), List.of());
    loop.advance(PartStore.VALIDITY_MS * 4);
    stores.applyChanges("10.0.0.7:80", 1, loop.millis(), Map.of(), List.of());
    assertFalse(
        TestPartTransfers.startTransfers(stores, loop, "v1", PROMPT).saves(),
        "a store whose state has expired has the part");
  }
}
