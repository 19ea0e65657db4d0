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
import org.landingtrack.internal.serving.PartSources.Fetch;
import org.landingtrack.internal.serving.PartStore.StoreInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which fetches and saves {@link PartSources} plans. */
public final class PartSourcesTest {
  private static final String SLOW = "10.0.0.8:80";
  private static final Prompt PROMPT =
      new Prompt("m", 10, List.of(new Prompt.Part("a", 500), new Prompt.Part("own", 100)));

  private ManualLoop loop = new ManualLoop();
  private PartStores stores = new PartStores(loop, PartPlans.noPeers(loop));
  private Backend target = PartPlans.engine("target");

  @BeforeMethod
  public void newWorld() {
    loop = new ManualLoop();
    stores = new PartStores(loop, PartPlans.noPeers(loop));
    // 500 tokens of 18,432 bytes take 74 ms over this link.
    stores.configure(List.of(new StoreInfo("slow", SLOW, "dc-1", 10_000, 1_000, 0)));
    stores.listed(SLOW, 1, loop.millis(), Map.of());
    target = PartPlans.engine("target");
  }

  private Fetch plan(double patienceMs) {
    PartSources sources = PartPlans.sources(stores, loop, "v1", PROMPT);
    return sources.plan(target, 0, patienceMs);
  }

  private void storeHasThePart() {
    stores.changed(SLOW, 1, loop.millis(), Map.of("v1/a", 500), List.of());
  }

  @Test
  public void aFetchThatTakesTooLongIsLeft() {
    storeHasThePart();
    assertEquals(plan(0).tokens(), 0, "prefill takes 10 ms");
    assertEquals(plan(100).tokens(), 500);
    for (int i = 0; i < 3; i++) {
      PartSources sources = PartPlans.sources(stores, loop, "v1", PROMPT);
      sources.moves(new Object(), target, sources.plan(target, 0, 400), 0);
    }
    assertEquals(plan(100).tokens(), 0, "the link is busy with other fetches");
  }

  @Test
  public void anAnswersFetchNoLongerKeepsTheLinkBusy() {
    storeHasThePart();
    Object request = new Object();
    PartSources sources = PartPlans.sources(stores, loop, "v1", PROMPT);
    sources.moves(request, target, sources.plan(target, 0, 400), 0);
    PartStore store = Objects.requireNonNull(stores.find(SLOW));
    assertTrue(stores.backlogMs(store) > 70);
    stores.fetched(request);
    assertEquals(stores.backlogMs(store), 0.0);
  }

  /** No second store saves a part, even while the state of the store that has it has expired. */
  @Test
  public void aPartIsSavedToOneStoreOnly() {
    stores.configure(
        List.of(
            new StoreInfo("slow", SLOW, "dc-1", 10_000, 1_000, 0),
            new StoreInfo("second", "10.0.0.7:80", "dc-1", 10_000, 1_000, 0)));
    stores.listed("10.0.0.7:80", 1, loop.millis(), Map.of());
    loop.advance(PartStore.BELIEF_MS + 500);
    stores.changed(SLOW, 1, loop.millis(), Map.of(), List.of());
    stores.changed("10.0.0.7:80", 1, loop.millis(), Map.of(), List.of());
    assertTrue(PartPlans.moves(stores, loop, "v1", PROMPT).saves());
    assertFalse(
        PartPlans.moves(stores, loop, "v1", PROMPT).saves(), "the part is already being saved");
    stores.changed(SLOW, 1, loop.millis(), Map.of("v1/a", 500), List.of());
    loop.advance(PartStore.BELIEF_MS * 4);
    stores.changed("10.0.0.7:80", 1, loop.millis(), Map.of(), List.of());
    assertFalse(
        PartPlans.moves(stores, loop, "v1", PROMPT).saves(),
        "a store whose state has expired has the part");
  }
}
