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

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.landingtrack.bench.CallerClient.Answer;
import org.landingtrack.bench.CallerClient.PromptRequest;
import org.landingtrack.internal.base.Json;
import org.landingtrack.standins.EngineOptions;
import org.landingtrack.standins.EngineServer;

/**
 * Fault injection under load: kills and suspends gateways and controllers, cuts streams and makes
 * the platform unavailable, in a random order from a seed. Counts what the callers and the engines
 * observed.
 */
public final class FaultInjectionRun {
  private static final int CALLER_COUNT = 8;
  private static final int ANSWER_TOKENS = 12;
  private static final long DEADLINE_MS = 10_000;
  private static final long SUSPEND_MS = 1_500;

  private final Deployment deployment;
  private final SplittableRandom random;
  private final List<Exchange> exchanges = Collections.synchronizedList(new ArrayList<>());
  private final List<String> actions = new ArrayList<>();

  /**
   * A request with its answer. Each question is unique, so that the engines' runs are countable.
   */
  private record Exchange(PromptRequest request, Answer answer) {}

  /**
   * The counts of a run.
   *
   * @param whole complete answers
   * @param refused requests that were answered with an error that states that they did not run
   * @param unknown requests that were answered with any other error
   * @param cut requests whose connection failed or closed before the answer was complete
   * @param lost answers that were neither complete nor an error
   * @param doubled at-most-once requests that ran more than once
   * @param crossed complete answers whose text is not the one expected for their request, for
   *     example the answer to another request or one with a token twice
   * @param falseNotRun requests that ran although every answer to them stated that they had not
   * @param actions the injected faults, in order
   */
  public record Counts(
      int sent,
      int whole,
      int refused,
      int unknown,
      int cut,
      int lost,
      int doubled,
      int crossed,
      int falseNotRun,
      List<String> actions) {

    ObjectNode json() {
      return Json.LENIENT.valueToTree(this);
    }
  }

  private FaultInjectionRun(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.random = new SplittableRandom(seed);
  }

  /** Runs a number of disturbances under load that lasts at least a number of seconds. */
  public static Counts run(long seed, int disturbances, double seconds)
      throws InterruptedException {
    DeploymentPlan plan =
        new DeploymentPlan.Builder()
            .setControllers(3)
            .setGateways(3)
            .setEngines(4)
            .setEngine(EngineOptions.forTests("v1").withDecodeMs(10))
            .build();
    try (Deployment deployment = Deployment.start(plan)) {
      return new FaultInjectionRun(deployment, seed).execute(disturbances, seconds);
    }
  }

  private Counts execute(int disturbances, double seconds) throws InterruptedException {
    AtomicBoolean stop = new AtomicBoolean();
    ExecutorService executor = Executors.newFixedThreadPool(CALLER_COUNT);
    long endNs = System.nanoTime() + (long) (seconds * 1e9);
    for (int i = 0; i < CALLER_COUNT; i++) {
      int caller = i;
      executor.execute(() -> sendUntilStopped(caller, stop));
    }
    long pauseMs = Math.max(200, (long) (seconds * 1_000 / Math.max(1, disturbances)));
    for (int i = 0; i < disturbances; i++) {
      Thread.sleep(pauseMs / 2);
      disturb();
      Thread.sleep(pauseMs / 2);
    }
    while (System.nanoTime() < endNs) {
      Thread.sleep(50);
    }
    stop.set(true);
    executor.shutdown();
    if (!executor.awaitTermination(2, TimeUnit.MINUTES)) {
      throw new IllegalStateException(
          "callers are still running 2 minutes after the end of the load");
    }
    return count();
  }

  private void sendUntilStopped(int caller, AtomicBoolean stop) {
    CallerClient client = new CallerClient(2 * DEADLINE_MS);
    String system = "handbook " + caller % 3 + " ".repeat(3_000);
    for (int number = 0; !stop.get(); number++) {
      String question = "drill " + caller + " " + number;
      boolean atMostOnce = number % 2 == 0;
      PromptRequest prompt =
          new PromptRequest(
              Deployment.LLM,
              DeploymentPlan.teamKey("quotes"),
              system,
              question,
              ANSWER_TOKENS,
              DEADLINE_MS,
              atMostOnce,
              atMostOnce ? question : "");
      Answer answer = client.send(gatewayUrl(caller, number), prompt);
      exchanges.add(new Exchange(prompt, answer));
      // Like real callers, a caller without a complete answer retries once through another gateway.
      if (!answer.complete()) {
        exchanges.add(new Exchange(prompt, client.send(gatewayUrl(caller, number + 1), prompt)));
      }
    }
  }

  private String gatewayUrl(int caller, int number) {
    return deployment.gatewayUrl((caller + number) % deployment.gatewayCount());
  }

  private void disturb() throws InterruptedException {
    int index = random.nextInt(3);
    switch (random.nextInt(7)) {
      case 0 -> {
        actions.add("kill gateway " + index);
        deployment.gateway(index).kill();
        deployment.restartGateway(index);
      }
      case 1 -> {
        actions.add("kill controller " + index);
        deployment.controller(index).kill();
        deployment.restartController(index);
      }
      case 2 -> {
        actions.add("freeze gateway " + index);
        deployment.gateway(index).suspend();
        Thread.sleep(SUSPEND_MS);
        deployment.gateway(index).resume();
      }
      case 3 -> {
        actions.add("freeze controller " + index);
        deployment.controller(index).suspend();
        Thread.sleep(SUSPEND_MS);
        deployment.controller(index).resume();
      }
      case 4 -> {
        actions.add("cut streams of engine " + index);
        deployment.engines().get(index).faults().set("cutAfter", 3).set("cutOnce", 5);
      }
      case 5 -> {
        actions.add("lose answers of the platform");
        deployment.objectApi().faults().set("lostAnswers", 3);
      }
      default -> {
        actions.add("platform out");
        deployment.objectApi().faults().set("out", 1);
        Thread.sleep(SUSPEND_MS);
        deployment.objectApi().faults().set("out", 0);
      }
    }
  }

  private Counts count() {
    int whole = 0;
    int refused = 0;
    int unknown = 0;
    int cut = 0;
    int lost = 0;
    int crossed = 0;
    Map<String, Integer> notRunByQuestion = new HashMap<>();
    Map<String, Integer> sentByQuestion = new HashMap<>();
    for (Exchange exchange : exchanges) {
      Answer answer = exchange.answer();
      String question = exchange.request().question();
      sentByQuestion.merge(question, 1, Integer::sum);
      if (answer.complete()) {
        whole++;
        crossed +=
            answer.text().equals(CallerClient.expectedText(exchange.request(), "v1")) ? 0 : 1;
      } else if (answer.kind().equals("CONNECTION") || answer.kind().equals("CUT")) {
        // The gateway with the connection was killed; the caller can tell that the answer is
        // incomplete.
        cut++;
      } else if (answer.ran().equals("not-run")) {
        refused++;
        notRunByQuestion.merge(question, 1, Integer::sum);
      } else if (!answer.kind().isEmpty()) {
        unknown++;
      } else {
        lost++;
      }
    }
    int falseNotRun = 0;
    for (Map.Entry<String, Integer> entry : notRunByQuestion.entrySet()) {
      boolean allSayNotRun = entry.getValue().equals(sentByQuestion.get(entry.getKey()));
      falseNotRun += allSayNotRun && countRuns(entry.getKey()) > 0 ? 1 : 0;
    }
    return new Counts(
        exchanges.size(),
        whole,
        refused,
        unknown,
        cut,
        lost,
        countDoubled(),
        crossed,
        falseNotRun,
        List.copyOf(actions));
  }

  private int countDoubled() {
    int doubled = 0;
    for (Exchange exchange : exchanges) {
      if (exchange.request().noRepeat() && countRuns(exchange.request().question()) > 1) {
        doubled++;
      }
    }
    return doubled;
  }

  private int countRuns(String question) {
    int runs = 0;
    for (EngineServer engine : deployment.engines()) {
      runs += engine.runs().getOrDefault(question, 0);
    }
    return runs;
  }
}
