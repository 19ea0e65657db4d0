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
package org.landingtrack.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntFunction;
import org.landingtrack.bench.CallerClient.Answer;
import org.landingtrack.bench.CallerClient.PromptRequest;
import org.landingtrack.standins.EngineServer;

/** Requests and assertions that the process tests share. */
final class SharedRequests {
  static final String TEAM = "quotes";
  private static final long DEADLINE_MS = 30_000;

  private SharedRequests() {}

  static CallerClient createClient() {
    return new CallerClient(60_000);
  }

  static PromptRequest createRequest(String question, int tokens) {
    return createRequest(TEAM, "handbook", question, tokens);
  }

  static PromptRequest createRequest(String team, String system, String question, int tokens) {
    return new PromptRequest(
        Deployment.LLM,
        DeploymentPlan.teamKey(team),
        system,
        question,
        tokens,
        DEADLINE_MS,
        false,
        "");
  }

  static PromptRequest createNoRepeatRequest(String question, String key) {
    return new PromptRequest(
        Deployment.LLM,
        DeploymentPlan.teamKey(TEAM),
        "handbook",
        question,
        8,
        DEADLINE_MS,
        true,
        key);
  }

  /** Runs tasks concurrently, each on a thread of its own; returns their results in order. */
  static <T> List<T> runConcurrently(int count, IntFunction<T> task) throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(count);
    try {
      List<Future<T>> futures = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        int index = i;
        futures.add(executor.submit(() -> task.apply(index)));
      }
      List<T> results = new ArrayList<>();
      for (Future<T> future : futures) {
        results.add(future.get());
      }
      return results;
    } finally {
      executor.shutdownNow();
    }
  }

  /** Asserts that an answer is complete and is the one to its own question, token by token. */
  static void assertCompleteOwnAnswer(PromptRequest prompt, Answer answer, String weightVersion) {
    assertTrue(answer.complete(), prompt.question() + ": " + answer);
    assertEquals(answer.text(), CallerClient.expectedText(prompt, weightVersion));
  }

  /** Returns how often a question ran, summed over all engines. */
  static int countRuns(Deployment deployment, String question) {
    int runs = 0;
    for (EngineServer engine : deployment.engines()) {
      runs += engine.runs().getOrDefault(question, 0);
    }
    return runs;
  }
}
