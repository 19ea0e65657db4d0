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
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.RunState;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.BackendServer;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.engine.BackendClient;
import org.landingtrack.internal.engine.CompletionCall;
import org.landingtrack.internal.engine.CompletionOutcome;
import org.landingtrack.internal.engine.TokenSink;
import org.landingtrack.internal.engine.Usage;
import org.landingtrack.internal.explain.ExplanationBuilder;
import org.landingtrack.internal.routing.CostPolicy;
import org.landingtrack.internal.routing.LoadReport;
import org.landingtrack.internal.routing.ServerTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests load shedding: a request that cannot meet its deadline is rejected at once and reaches no
 * engine.
 */
public final class LoadSheddingTest {
  private static final Service SERVICE =
      new Service("model", "v1", 1, 0, 0, 1_000_000, 10, 100, null);

  private final FakeTicker ticker = new FakeTicker();
  private int runs;

  private final BackendClient client =
      new StubBackendClient() {
        @Override
        public CompletionOutcome complete(String address, CompletionCall call, TokenSink sink) {
          runs++;
          sink.token(0, "t0");
          return new CompletionOutcome.Whole(new Usage(10, 0, 1));
        }
      };

  @DataProvider
  public Object[][] queues() {
    return new Object[][] {
      // tokens queued at every engine, deadline in ms, whether the request is served
      {0L, 1_000L, true},
      {10_000L, 1_000L, true},
      {100_000L, 1_000L, false},
      {100_000L, 60_000L, true},
    };
  }

  @Test(dataProvider = "queues")
  public void rejectsRequestsThatCannotMeetTheirDeadline(
      long queuedTokens, long deadlineMs, boolean isServed) throws InterruptedException {
    Catalog catalog = catalog();
    ServerTable servers = new ServerTable();
    catalog
        .servers("llm")
        .forEach(
            server ->
                servers
                    .state(server)
                    .recordLoadReport(new LoadReport(queuedTokens, 1, ticker.millis())));
    ModelDispatcher dispatcher = dispatcher(catalog, servers);
    runs = 0;
    if (isServed) {
      dispatcher.run(request(deadlineMs), new DiscardingSink(), new ExplanationBuilder());
      assertEquals(runs, 1);
      return;
    }
    LandingtrackException e =
        expectThrows(
            LandingtrackException.class,
            () ->
                dispatcher.run(
                    request(deadlineMs), new DiscardingSink(), new ExplanationBuilder()));
    assertEquals(e.kind(), ErrorKind.OVERLOADED);
    assertEquals(e.kind().runState(), RunState.NOT_RUN);
    assertTrue(e.retryAfterSeconds() >= 1, "the error states no retry time");
    assertEquals(runs, 0);
  }

  private static Catalog catalog() {
    List<Catalog.Update> updates = new ArrayList<>();
    updates.add(new Catalog.Update(Kind.SERVICE, "llm", Optional.of(SERVICE)));
    for (int i = 0; i < 3; i++) {
      BackendServer server = new BackendServer("llm", "10.0.0." + i + ":1", "dc", 8, true, false);
      updates.add(new Catalog.Update(Kind.BACKEND_SERVER, "r" + i, Optional.of(server)));
    }
    return Catalog.EMPTY.with(1, updates);
  }

  private ModelDispatcher dispatcher(Catalog catalog, ServerTable servers) {
    SplittableRandom random = new SplittableRandom(1);
    ServiceLimiters serviceLimiters = new ServiceLimiters(() -> catalog, ticker);
    return new ModelDispatcher.Builder(
            () -> catalog, servers, serviceLimiters, client, new CostPolicy(() -> random))
        .setTicker(ticker)
        .build();
  }

  private ModelRequest request(long deadlineMs) {
    return new ModelRequest(
        "id",
        "team",
        "llm",
        SERVICE,
        Json.LENIENT.createArrayNode(),
        "prompt",
        1,
        0,
        1,
        false,
        "",
        ticker.millis() + deadlineMs);
  }

  private static final class DiscardingSink implements TokenSink {
    @Override
    public void token(int offset, String text) {}

    @Override
    public void load(LoadReport report) {}
  }
}
