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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Predicate;
import org.landingtrack.internal.loads.GossipMessage;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;
import org.testng.annotations.Test;

/**
 * Compares selections in random scenarios with {@link ReferenceSelector}; the costs must be equal
 * to the last bit.
 */
public final class ServerSelectorReferenceTest {
  private static final int SCENARIOS = 400;
  private static final int SELECTIONS = 5;
  private static final String MODEL = "m";
  private static final EngineInfo INFO = new EngineInfo(16, 20_000, 18_432, 40_000);

  /** One VM's view of random engines, stores and loads. */
  private static final class Scenario {
    private final Random random;
    private final ManualEventLoop loop = new ManualEventLoop();
    private final PeerLoads peerLoads = new PeerLoads(loop, new Vm("10.0.1.1:70", "dc-0", 0));
    private final PartStores stores = new PartStores(loop, peerLoads);
    private final List<Backend> engines = new ArrayList<>();
    private final Predicate<PartStore> allowed;
    private int fetched;

    Scenario(long seed) {
      random = new Random(seed);
      List<PartStore.StoreInfo> infos = new ArrayList<>();
      int count = random.nextInt(8);
      for (int i = 0; i < count; i++) {
        infos.add(
            new PartStore.StoreInfo(
                "s" + i,
                "10.0.4." + i + ":80",
                dataCentre(),
                100_000,
                10_000 + random.nextInt(60_000),
                random.nextInt(7)));
      }
      stores.configure(infos);
      boolean onlySameDataCentre = random.nextInt(4) == 0;
      allowed = store -> !onlySameDataCentre || store.info().dataCentre().equals("dc-0");
      infos.forEach(this::fill);
      int size = 1 + random.nextInt(12);
      for (int i = 0; i < size; i++) {
        engines.add(engine(i));
      }
      receiveLoads();
      loop.advance(random.nextInt(300));
    }

    private String dataCentre() {
      return "dc-" + random.nextInt(3);
    }

    private void fill(PartStore.StoreInfo info) {
      Map<String, Integer> held = new HashMap<>();
      for (int i = 0; i < 10; i++) {
        held.put("v" + random.nextInt(3) + "/p" + random.nextInt(12), 100);
      }
      stores.replaceParts(info.address(), 1, loop.millis() - random.nextInt(700), held);
      PartStore store = stores.find(info.address());
      if (random.nextBoolean()) {
        store.fetchBacklog().add(this, random.nextInt(60), 200, loop.millis());
      }
    }

    private Backend engine(int index) {
      ServerEntry entry =
          new ServerEntry(
              "e" + index,
              "engines",
              "10.0.3." + index + ":80",
              dataCentre(),
              8,
              false,
              0,
              Map.of(MODEL, (long) random.nextInt(3)));
      Backend engine = new Backend(entry, 0);
      for (int i = random.nextInt(3); i > 0; i--) {
        engine.cachedParts().recordPrefill("v" + engine.weightVersion(MODEL), prompt(), 40_000);
        engine.sent(random.nextInt(4_000), random.nextInt(6_000));
        engine.timing().recordSend(new Object(), random.nextInt(90), 600, 5, true, loop.millis());
      }
      if (random.nextInt(3) == 0) {
        Object request = new Object();
        engine.timing().recordSend(request, 1, 600, 0, true, loop.millis() - random.nextInt(80));
        engine.timing().recordFirstEvent(request, loop.millis());
        engine.linkBacklog().add(request, random.nextInt(40), 300, loop.millis());
      }
      if (random.nextInt(5) == 0) {
        engine.refused(loop.millis());
      }
      return engine;
    }

    private void receiveLoads() {
      List<Load> loads = new ArrayList<>();
      for (Backend engine : engines) {
        if (random.nextBoolean()) {
          loads.add(
              new Load(
                  engine.incarnationHash(),
                  random.nextInt(3_000),
                  random.nextInt(9),
                  random.nextInt(50),
                  random.nextInt(20_000)));
        }
      }
      peerLoads.receive(
          new GossipMessage(
              new Vm("10.0.1.2:70", "dc-0", 0), 1, Kind.OWN, List.of(), loads, List.of()));
    }

    private Prompt prompt() {
      List<Prompt.Part> parts = new ArrayList<>();
      for (int i = random.nextInt(4); i > 0; i--) {
        parts.add(new Prompt.Part("p" + random.nextInt(12), 50 + random.nextInt(2_000)));
      }
      parts.add(new Prompt.Part("own", 1 + random.nextInt(300)));
      return new Prompt(MODEL, random.nextInt(200), parts);
    }

    void selectAndCompare() {
      Prompt prompt = prompt();
      long now = loop.millis();
      long keyHash = random.nextLong();
      double leftMs = random.nextInt(1_500);
      OptionalLong newest = random.nextBoolean() ? OptionalLong.of(2) : OptionalLong.empty();
      ServerSelector.Query query =
          new ServerSelector.Query(
              "dc-0",
              INFO,
              prompt,
              weights ->
                  new PartFetchPlanner(
                      "v" + weights, prompt, INFO, stores, allowed, peerLoads, now),
              peerLoads,
              newest,
              server -> Double.POSITIVE_INFINITY,
              keyHash,
              leftMs,
              now);
      ServerSelector.Selection choice = ServerSelector.select(engines, query);
      ReferenceSelector.Result expected =
          new ReferenceSelector(
                  stores, peerLoads, INFO, prompt, "dc-0", newest, keyHash, leftMs, allowed, now)
              .select(engines);
      ReferenceSelector.Result actual =
          new ReferenceSelector.Result(
              choice.backend(),
              choice.cachedTokens(),
              choice.fetch().sources(),
              choice.fetchedTokens(),
              choice.expectedMs(),
              choice.costMs());
      assertEquals(actual, expected);
      fetched += choice.fetchedTokens();
    }
  }

  @Test
  public void selectionsMatchTheReference() {
    int fetched = 0;
    for (long seed = 0; seed < SCENARIOS; seed++) {
      Scenario world = new Scenario(seed);
      for (int i = 0; i < SELECTIONS; i++) {
        world.selectAndCompare();
      }
      fetched += world.fetched;
    }
    assertTrue(fetched > 0, "no selection fetched any parts");
  }
}
