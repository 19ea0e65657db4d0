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
package org.landingtrack.internal.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.BackendServer;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.engine.CompletionCall;
import org.landingtrack.internal.engine.CompletionOutcome;
import org.landingtrack.internal.engine.CompletionOutcome.NotRun;
import org.landingtrack.internal.engine.CompletionOutcome.NotRun.Reason;
import org.landingtrack.internal.engine.TokenSink;
import org.landingtrack.internal.engine.Usage;
import org.landingtrack.internal.explain.ExplanationBuilder;
import org.landingtrack.internal.routing.BaselinePolicies;
import org.landingtrack.internal.routing.LoadReport;
import org.landingtrack.internal.routing.ServerTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which servers get requests while engines swap to another weight version. Uses in-process
 * engines.
 */
public final class WeightSwapRoutingTest {
  private static final int SERVERS = 8;

  /** Engines that refuse requests while they load weights and requests for another version. */
  private static final class SwappingEngines extends StubBackendClient {
    private final Map<String, String> versions = new HashMap<>();
    private final Set<String> loading = new HashSet<>();
    private final Map<String, Integer> answersByAddress = new HashMap<>();
    private int refusals;

    SwappingEngines() {
      for (int i = 0; i < SERVERS; i++) {
        versions.put(address(i), "v1");
      }
    }

    @Override
    public CompletionOutcome complete(String address, CompletionCall call, TokenSink sink) {
      if (loading.contains(address)) {
        refusals++;
        return new NotRun("loading", Reason.LOADING, "");
      }
      String version = versions.get(address);
      if (!version.equals(call.weightVersion())) {
        refusals++;
        return new NotRun("version", Reason.OTHER_VERSION, version);
      }
      sink.token(0, "t0");
      answersByAddress.merge(address, 1, Integer::sum);
      return new CompletionOutcome.Whole(new Usage(10, 0, 1));
    }
  }

  private final FakeTicker ticker = new FakeTicker();
  private final SwappingEngines engines = new SwappingEngines();
  private Catalog catalog = catalog("v1");
  private ModelDispatcher dispatcher = dispatcher();
  private int sentRequests;

  private static String address(int server) {
    return "10.0.0." + server + ":1";
  }

  private static Service service(String version) {
    // The retry share is 0: a weight swap must not need retries.
    return new Service("model", version, 1, 0, 0, 1_000_000, 10, 0, null);
  }

  private static Catalog catalog(String version) {
    List<Catalog.Update> updates = new ArrayList<>();
    updates.add(new Catalog.Update(Kind.SERVICE, "llm", Optional.of(service(version))));
    for (int i = 0; i < SERVERS; i++) {
      BackendServer server = new BackendServer("llm", address(i), "dc", 8, true, false);
      updates.add(new Catalog.Update(Kind.BACKEND_SERVER, "r" + i, Optional.of(server)));
    }
    return Catalog.EMPTY.with(1, updates);
  }

  private ModelDispatcher dispatcher() {
    // Round robin shows which servers are candidates.
    return new ModelDispatcher.Builder(
            () -> catalog,
            new ServerTable(),
            new ServiceLimiters(() -> catalog, ticker),
            engines,
            BaselinePolicies.roundRobin())
        .setTicker(ticker)
        .build();
  }

  private DispatchReport sendRequest() throws InterruptedException {
    ticker.advance(20);
    ModelRequest request =
        new ModelRequest(
            "id-" + sentRequests,
            "team",
            "llm",
            service("v1"),
            Json.LENIENT.createArrayNode(),
            "prompt " + sentRequests++,
            1,
            0,
            1,
            false,
            "",
            ticker.millis() + 60_000);
    TokenSink sink =
        new TokenSink() {
          @Override
          public void token(int offset, String text) {}

          @Override
          public void load(LoadReport report) {}
        };
    return dispatcher.run(request, sink, new ExplanationBuilder());
  }

  private void sendRequest(int times) throws InterruptedException {
    for (int i = 0; i < times; i++) {
      sendRequest();
    }
  }

  @DataProvider
  public Object[][] stepsAtOnce() {
    return new Object[][] {{1}, {2}, {3}};
  }

  /**
   * No request fails during the swap, and afterwards all engines get requests without refusals.
   * Guards against servers that stay unused because the gateway last saw them with the old version.
   */
  @Test(dataProvider = "stepsAtOnce")
  public void swapFailsNoRequestAndLeavesNoEngineUnused(int groupSize) throws Exception {
    for (int i = 0; i < SERVERS; i++) {
      engines.versions.put(address(i), "v1");
    }
    catalog = catalog("v1");
    dispatcher = dispatcher();
    sendRequest(200);
    catalog = catalog("v2");
    for (int first = 0; first < SERVERS; first += groupSize) {
      for (int i = first; i < Math.min(SERVERS, first + groupSize); i++) {
        engines.loading.add(address(i));
      }
      sendRequest(20);
      for (int i = first; i < Math.min(SERVERS, first + groupSize); i++) {
        engines.versions.put(address(i), "v2");
      }
      engines.loading.clear();
      sendRequest(20);
    }
    sendRequest(200);
    engines.answersByAddress.clear();
    engines.refusals = 0;
    for (int i = 0; i < 400; i++) {
      assertEquals(sendRequest().weightVersion(), "v2");
    }
    assertEquals(engines.answersByAddress.size(), SERVERS, engines.answersByAddress.toString());
    assertEquals(engines.refusals, 0);
  }

  /** Probing an engine for the new version costs each request at most one refusal. */
  @Test
  public void requestProbesAtMostOneEngine() throws Exception {
    sendRequest(200);
    catalog = catalog("v2");
    ticker.advance(60_000);
    engines.refusals = 0;
    assertEquals(sendRequest().weightVersion(), "v1");
    assertTrue(engines.refusals <= 1, "refusals: " + engines.refusals);
  }
}
