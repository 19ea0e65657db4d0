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
import org.landingtrack.bench.CallerClient.Ask;
import org.landingtrack.internal.base.Json;
import org.landingtrack.standins.EngineOptions;
import org.landingtrack.standins.EngineServer;

/**
 * Load, while gateways and controllers are killed and frozen, streams are cut, and the platform
 * goes out, at random from a seed. Counts what the callers and the engines saw.
 */
public final class KillDrill {
  private static final int CALLERS = 8;
  private static final int TOKENS = 12;
  private static final long DEADLINE_MS = 10_000;
  private static final long FREEZE_MS = 1_500;

  private final Deployment deployment;
  private final SplittableRandom random;
  private final List<Sent> sent = Collections.synchronizedList(new ArrayList<>());
  private final List<String> actions = new ArrayList<>();

  /** A request with its answer; {@code question} is unique, so that its runs can be counted. */
  private record Sent(Ask ask, Answer answer) {}

  /**
   * What was counted.
   *
   * @param lost answers that were neither whole nor said to be failed
   * @param doubled requests not to be repeated that ran more than once, and answers with a token
   *     twice
   * @param crossed whole answers that were not the one to their own request
   * @param falseNotRun requests that were said not to have run but had
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

  private KillDrill(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.random = new SplittableRandom(seed);
  }

  /** Runs a drill of so many disturbances, with at least so many seconds of load. */
  public static Counts run(long seed, int disturbances, double seconds)
      throws InterruptedException {
    DeploymentPlan plan =
        new DeploymentPlan.Builder()
            .setControllers(3)
            .setGateways(3)
            .setEngines(4)
            .setEngine(EngineOptions.small("v1").withDecodeMs(10))
            .build();
    try (Deployment deployment = Deployment.start(plan)) {
      return new KillDrill(deployment, seed).drill(disturbances, seconds);
    }
  }

  private Counts drill(int disturbances, double seconds) throws InterruptedException {
    AtomicBoolean stop = new AtomicBoolean();
    ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
    long end = System.nanoTime() + (long) (seconds * 1e9);
    for (int i = 0; i < CALLERS; i++) {
      int caller = i;
      threads.execute(() -> callUntil(caller, stop));
    }
    long pauseMs = Math.max(200, (long) (seconds * 1_000 / Math.max(1, disturbances)));
    for (int i = 0; i < disturbances; i++) {
      Thread.sleep(pauseMs / 2);
      disturb();
      Thread.sleep(pauseMs / 2);
    }
    while (System.nanoTime() < end) {
      Thread.sleep(50);
    }
    stop.set(true);
    threads.shutdown();
    if (!threads.awaitTermination(2, TimeUnit.MINUTES)) {
      throw new IllegalStateException("callers did not end");
    }
    return count();
  }

  private void callUntil(int caller, AtomicBoolean stop) {
    CallerClient client = new CallerClient(2 * DEADLINE_MS);
    String system = "handbook " + caller % 3 + " ".repeat(3_000);
    for (int number = 0; !stop.get(); number++) {
      String question = "drill " + caller + " " + number;
      boolean once = number % 2 == 0;
      Ask ask =
          new Ask(
              Deployment.LLM,
              DeploymentPlan.teamKey("quotes"),
              system,
              question,
              TOKENS,
              DEADLINE_MS,
              once,
              once ? question : "");
      Answer answer = client.ask(url(caller, number), ask);
      sent.add(new Sent(ask, answer));
      // A caller that got no whole answer comes back once through another gateway, as they do.
      if (!answer.whole()) {
        sent.add(new Sent(ask, client.ask(url(caller, number + 1), ask)));
      }
    }
  }

  private String url(int caller, int number) {
    return deployment.gatewayUrl((caller + number) % deployment.gatewayCount());
  }

  private void disturb() throws InterruptedException {
    int which = random.nextInt(3);
    switch (random.nextInt(7)) {
      case 0 -> {
        actions.add("kill gateway " + which);
        deployment.gateway(which).kill();
        deployment.restartGateway(which);
      }
      case 1 -> {
        actions.add("kill controller " + which);
        deployment.controller(which).kill();
        deployment.restartController(which);
      }
      case 2 -> {
        actions.add("freeze gateway " + which);
        deployment.gateway(which).freeze();
        Thread.sleep(FREEZE_MS);
        deployment.gateway(which).resume();
      }
      case 3 -> {
        actions.add("freeze controller " + which);
        deployment.controller(which).freeze();
        Thread.sleep(FREEZE_MS);
        deployment.controller(which).resume();
      }
      case 4 -> {
        actions.add("cut streams of engine " + which);
        deployment.engines().get(which).faults().set("cutAfter", 3).set("cutOnce", 5);
      }
      case 5 -> {
        actions.add("lose answers of the platform");
        deployment.objectApi().faults().set("lostAnswers", 3);
      }
      default -> {
        actions.add("platform out");
        deployment.objectApi().faults().set("out", 1);
        Thread.sleep(FREEZE_MS);
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
    Map<String, Integer> answersSayingNotRun = new HashMap<>();
    Map<String, Integer> asked = new HashMap<>();
    for (Sent one : sent) {
      Answer answer = one.answer();
      String question = one.ask().question();
      asked.merge(question, 1, Integer::sum);
      if (answer.whole()) {
        whole++;
        crossed += answer.text().equals(CallerClient.expected(one.ask(), "v1")) ? 0 : 1;
      } else if (answer.kind().equals("CONNECTION") || answer.kind().equals("CUT")) {
        // The gateway that held the connection was killed; the caller sees that nothing is whole.
        cut++;
      } else if (answer.ran().equals("not-run")) {
        refused++;
        answersSayingNotRun.merge(question, 1, Integer::sum);
      } else if (!answer.kind().isEmpty()) {
        unknown++;
      } else {
        lost++;
      }
    }
    int falseNotRun = 0;
    for (Map.Entry<String, Integer> entry : answersSayingNotRun.entrySet()) {
      boolean allSayNotRun = entry.getValue().equals(asked.get(entry.getKey()));
      falseNotRun += allSayNotRun && runs(entry.getKey()) > 0 ? 1 : 0;
    }
    return new Counts(
        sent.size(),
        whole,
        refused,
        unknown,
        cut,
        lost,
        doubled(),
        crossed,
        falseNotRun,
        List.copyOf(actions));
  }

  private int doubled() {
    int doubled = 0;
    for (Sent one : sent) {
      if (one.ask().noRepeat() && runs(one.ask().question()) > 1) {
        doubled++;
      }
    }
    return doubled;
  }

  private int runs(String question) {
    int runs = 0;
    for (EngineServer engine : deployment.engines()) {
      runs += engine.runs().getOrDefault(question, 0);
    }
    return runs;
  }
}
