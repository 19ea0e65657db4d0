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
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
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
import org.landingtrack.internal.routing.CostPolicy;
import org.landingtrack.internal.routing.LoadReport;
import org.landingtrack.internal.routing.ServerTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the result of a request for each sequence of attempt outcomes: complete answers without
 * missing or repeated tokens, truthful error kinds, and released claims.
 */
public final class ModelRequestExecutionTest {
  private static final int TOKENS = 5;
  private static final Service SERVICE =
      new Service("model", "v1", 1, 0, 0, 1_000_000, 10, 100, null);
  private static final CompletionOutcome NOT_RUN = CompletionOutcome.NotRun.of("busy", false);
  private static final CompletionOutcome NO_CONNECTION =
      CompletionOutcome.NotRun.of("no connection", true);
  private static final CompletionOutcome BROKEN = new CompletionOutcome.Broken("cut");
  private static final CompletionOutcome FAILED = new CompletionOutcome.Failed("fault");
  private static final CompletionOutcome LATE_QUEUED = new CompletionOutcome.TooLate(false);
  private static final CompletionOutcome LATE_RAN = new CompletionOutcome.TooLate(true);
  private static final CompletionOutcome WHOLE =
      new CompletionOutcome.Whole(new Usage(10, 0, TOKENS));

  /**
   * The scripted outcome of one call.
   *
   * @param upTo offset after the last token that the call delivers
   * @param end outcome after these tokens
   */
  private record ScriptedOutcome(int upTo, CompletionOutcome end) {}

  /** Ends its calls with the scripted outcomes, in order, and records the calls. */
  private static final class ScriptedClient extends StubBackendClient {
    private final List<ScriptedOutcome> steps;
    private final List<String> calls = new ArrayList<>();
    private int nextStep;

    ScriptedClient(List<ScriptedOutcome> steps) {
      this.steps = steps;
    }

    @Override
    public CompletionOutcome complete(String address, CompletionCall call, TokenSink sink) {
      calls.add("run " + call.weightVersion() + " from " + call.resumeOffset());
      return deliver(call.resumeOffset(), sink);
    }

    @Override
    public CompletionOutcome resume(String address, CompletionCall call, int from, TokenSink sink) {
      calls.add("resume from " + from);
      return deliver(from, sink);
    }

    private CompletionOutcome deliver(int from, TokenSink sink) {
      ScriptedOutcome step = steps.get(nextStep++);
      for (int i = from; i < step.upTo; i++) {
        sink.token(i, "t" + i);
      }
      return step.end;
    }
  }

  private static final class Sink implements TokenSink {
    private final List<String> tokens = new ArrayList<>();

    @Override
    public void token(int offset, String text) {
      tokens.add(text);
    }

    @Override
    public void load(LoadReport report) {}
  }

  /** Grants every claim and counts the releases. */
  private static final class CountingClaimRegistry implements ClaimRegistry {
    private int releases;

    @Override
    public void claim(String keyHash, String requestId) {
      // Every claim succeeds.
    }

    @Override
    public void release(String keyHash, String requestId) {
      releases++;
    }
  }

  private final Sink sink = new Sink();
  private final CountingClaimRegistry claimRegistry = new CountingClaimRegistry();

  private static Catalog catalog() {
    List<Catalog.Update> updates = new ArrayList<>();
    updates.add(new Catalog.Update(Kind.SERVICE, "llm", Optional.of(SERVICE)));
    for (int i = 0; i < 4; i++) {
      BackendServer server = new BackendServer("llm", "10.0.0." + i + ":1", "dc", 8, true, false);
      updates.add(new Catalog.Update(Kind.BACKEND_SERVER, "r" + i, Optional.of(server)));
    }
    return Catalog.EMPTY.with(1, updates);
  }

  private DispatchReport run(ScriptedClient client, boolean noRepeat) throws InterruptedException {
    sink.tokens.clear();
    Catalog catalog = catalog();
    SplittableRandom random = new SplittableRandom(1);
    ModelDispatcher dispatcher =
        new ModelDispatcher.Builder(
                () -> catalog,
                new ServerTable(),
                new ServiceLimiters(() -> catalog, Ticker.SYSTEM),
                client,
                new CostPolicy(() -> random))
            .setClaims(claimRegistry)
            .build();
    ModelRequest request =
        new ModelRequest(
            "id",
            "team",
            "llm",
            SERVICE,
            Json.LENIENT.createArrayNode(),
            "prompt",
            TOKENS,
            0,
            1,
            noRepeat,
            noRepeat ? "0123456789" : "",
            Ticker.SYSTEM.millis() + 60_000);
    return dispatcher.run(request, sink, new ExplanationBuilder());
  }

  private static ScriptedOutcome noTokens(CompletionOutcome outcome) {
    return new ScriptedOutcome(0, outcome);
  }

  private static ScriptedOutcome brokenAt(int token) {
    return new ScriptedOutcome(token, BROKEN);
  }

  private static ScriptedOutcome completeAnswer() {
    return new ScriptedOutcome(TOKENS, WHOLE);
  }

  @DataProvider
  public Object[][] wholeInTheEnd() {
    return new Object[][] {
      {"complete at the first attempt", false, List.of(completeAnswer()), 1},
      {"refused, then another server", false, List.of(noTokens(NOT_RUN), completeAnswer()), 2},
      {
        "no connection twice",
        false,
        List.of(noTokens(NO_CONNECTION), noTokens(NO_CONNECTION), completeAnswer()),
        3
      },
      {"not to be repeated, refused", true, List.of(noTokens(NOT_RUN), completeAnswer()), 2},
      {"cut before a token", false, List.of(brokenAt(0), completeAnswer()), 2},
      {"cut, resumed at the offset", false, List.of(brokenAt(2), completeAnswer()), 1},
      {"cut, resumed though not to be repeated", true, List.of(brokenAt(2), completeAnswer()), 1},
      {
        "cut, resume fails, then another server",
        false,
        List.of(brokenAt(2), brokenAt(0), completeAnswer()),
        2
      },
      {
        "cut twice, resume fails once",
        false,
        List.of(brokenAt(1), brokenAt(3), completeAnswer()),
        2
      },
      {
        "the run failed, then another server", false, List.of(noTokens(FAILED), completeAnswer()), 2
      },
    };
  }

  @Test(dataProvider = "wholeInTheEnd")
  public void deliversEachTokenOnce(
      String name, boolean noRepeat, List<ScriptedOutcome> steps, int attempts) throws Exception {
    DispatchReport report = run(new ScriptedClient(steps), noRepeat);
    assertEquals(report.attempts(), attempts, name);
    assertEquals(sink.tokens, List.of("t0", "t1", "t2", "t3", "t4"), name);
  }

  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {
      // case, not to be repeated, steps, error kind, expected attempts
      {"cut before a token", true, List.of(brokenAt(0)), ErrorKind.OUTCOME_UNKNOWN, 1},
      {
        "cut and not resumed", true, List.of(brokenAt(2), brokenAt(0)), ErrorKind.OUTCOME_UNKNOWN, 1
      },
      {"the run failed", true, List.of(noTokens(FAILED)), ErrorKind.FAILED_IN_RUN, 1},
      {
        "deadline passed in the queue",
        true,
        List.of(noTokens(LATE_QUEUED)),
        ErrorKind.DEADLINE_BEFORE_RUN,
        1
      },
      {
        "deadline passed in the run",
        false,
        List.of(noTokens(LATE_RAN)),
        ErrorKind.DEADLINE_IN_RUN,
        1
      },
      {
        "all refuse",
        true,
        List.of(noTokens(NOT_RUN), noTokens(NOT_RUN), noTokens(NOT_RUN), noTokens(NOT_RUN)),
        ErrorKind.NO_BACKEND_SERVER,
        4
      },
      {
        "may have run, then all refuse",
        false,
        List.of(brokenAt(0), noTokens(NOT_RUN), noTokens(NOT_RUN), noTokens(NOT_RUN)),
        ErrorKind.OUTCOME_UNKNOWN,
        4
      },
      {
        "may have run, then deadline passed in the queue",
        false,
        List.of(brokenAt(0), noTokens(LATE_QUEUED)),
        ErrorKind.OUTCOME_UNKNOWN,
        2
      },
    };
  }

  /** An error says "not run" only if nothing ran, and the claim is released exactly then. */
  @Test(dataProvider = "refusals")
  public void errorSaysWhetherRequestRan(
      String name, boolean noRepeat, List<ScriptedOutcome> steps, ErrorKind kind, int runs) {
    ScriptedClient client = new ScriptedClient(steps);
    int releasesBefore = claimRegistry.releases;
    LandingtrackException e =
        expectThrows(LandingtrackException.class, () -> run(client, noRepeat));
    assertEquals(e.kind(), kind, name + ": " + e.getMessage());
    long attempts = client.calls.stream().filter(call -> call.startsWith("run")).count();
    assertEquals(attempts, runs, name);
    boolean isReleased = claimRegistry.releases > releasesBefore;
    assertEquals(isReleased, noRepeat && kind.runState() == RunState.NOT_RUN, name);
  }

  @Test
  public void usesAnotherWeightVersionBeforeFirstToken() throws Exception {
    CompletionOutcome otherVersion = new NotRun("version", Reason.OTHER_VERSION, "v0");
    List<ScriptedOutcome> steps = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      steps.add(noTokens(otherVersion));
    }
    steps.add(completeAnswer());
    ScriptedClient client = new ScriptedClient(steps);
    DispatchReport report = run(client, false);
    assertEquals(report.weightVersion(), "v0");
    assertTrue(client.calls.get(4).startsWith("run v0"), client.calls.toString());
  }

  /**
   * Refusals that only report another weight version must not use up the attempts or the retry
   * budget.
   */
  @Test
  public void versionMismatchesCostNoRetry() throws Exception {
    List<ScriptedOutcome> steps = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      steps.add(noTokens(new NotRun("version", Reason.OTHER_VERSION, i % 2 == 0 ? "v0" : "v1")));
    }
    steps.add(completeAnswer());
    ScriptedClient client = new ScriptedClient(steps);
    assertEquals(run(client, false).attempts(), 1);
  }

  @Test
  public void brokenAnswerKeepsItsWeightVersion() {
    CompletionOutcome otherVersion = new NotRun("version", Reason.OTHER_VERSION, "v0");
    ScriptedClient client =
        new ScriptedClient(
            List.of(
                brokenAt(2),
                brokenAt(0),
                noTokens(otherVersion),
                noTokens(otherVersion),
                noTokens(otherVersion)));
    expectThrows(LandingtrackException.class, () -> run(client, false));
    for (String call : client.calls) {
      assertTrue(!call.contains("v0"), client.calls.toString());
    }
  }
}
