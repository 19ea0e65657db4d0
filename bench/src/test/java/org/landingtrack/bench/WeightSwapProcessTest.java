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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.landingtrack.bench.CallerClient.Answer;
import org.landingtrack.bench.CallerClient.PromptRequest;
import org.landingtrack.standins.EngineOptions;
import org.landingtrack.standins.EngineServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A change of weights under load: no KV cache block is used with another version of the weights, no
 * request is interrupted, and the number of concurrent loads of weights is limited.
 */
public final class WeightSwapProcessTest {
  private enum Fault {
    NONE,
    HOLDER_SUSPENDED,
    HOLDER_KILLED
  }

  @DataProvider
  public Object[][] cases() {
    return new Object[][] {
      {true, Fault.NONE},
      {false, Fault.NONE},
      {true, Fault.HOLDER_SUSPENDED},
      {false, Fault.HOLDER_KILLED},
    };
  }

  @Test(dataProvider = "cases")
  public void aSwapUnderLoadInterruptsNoRequestAndMixesNoVersions(boolean fences, Fault fault)
      throws Exception {
    EngineOptions options = EngineOptions.forTests("v1").withDecodeMs(10);
    DeploymentPlan plan =
        new DeploymentPlan.Builder()
            .setControllers(3)
            .setEngines(8)
            .setEngine(fences ? options : options.withoutFencing())
            .build();
    try (Deployment deployment = Deployment.start(plan)) {
      AtomicBoolean stop = new AtomicBoolean();
      ExecutorService executor = Executors.newCachedThreadPool();
      List<Future<Integer>> callers = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        int caller = i;
        callers.add(executor.submit(() -> sendUntilStopped(deployment, caller, stop)));
      }
      Deployment.await("a controller holds the lease", () -> leaseHolder(deployment) >= 0);
      int holder = leaseHolder(deployment);
      assertEquals(deployment.ctl((holder + 1) % 3, "load", "llm", "v2").code(), 0);
      Deployment.await(
          "an engine has weights v2", () -> countEnginesWithVersion(deployment, "v2") > 0);
      disturb(deployment, fault, holder);
      Deployment.await(
          "all engines have weights v2", () -> countEnginesWithVersion(deployment, "v2") == 8);
      stop.set(true);
      int answered = 0;
      for (Future<Integer> caller : callers) {
        answered += caller.get(60, TimeUnit.SECONDS);
      }
      assertTrue(answered > 0);
      for (EngineServer engine : deployment.engines()) {
        assertEquals(engine.versionViolations(), 0);
        assertEquals(engine.staleOrders(), 0);
      }
      assertTrue(
          deployment.weightStore().peakConcurrentLoads() <= 3,
          "more than 3 engines loaded weights at once");
      executor.shutdownNow();
    }
  }

  private static void disturb(Deployment deployment, Fault fault, int holder)
      throws InterruptedException {
    switch (fault) {
      case NONE -> {}
      case HOLDER_KILLED -> deployment.controller(holder).kill();
      case HOLDER_SUSPENDED -> {
        deployment.controller(holder).suspend();
        Deployment.await(
            "all engines have weights v2", () -> countEnginesWithVersion(deployment, "v2") == 8);
        deployment.controller(holder).resume();
      }
    }
  }

  /** Returns the index of the controller that holds the lease for weights; -1 if none does. */
  private static int leaseHolder(Deployment deployment) {
    return deployment
        .objectApi()
        .store()
        .read("leases/weights-dc-1")
        .map(object -> Deployment.parseJson(object.value()).path("holder").asText("entry--1"))
        .filter(name -> name.startsWith("entry-"))
        .map(name -> Integer.parseInt(name.substring("entry-".length())))
        .orElse(-1);
  }

  private static int countEnginesWithVersion(Deployment deployment, String version) {
    int count = 0;
    for (EngineServer engine : deployment.engines()) {
      count += engine.weightVersion().equals(version) ? 1 : 0;
    }
    return count;
  }

  /**
   * Sends requests one by one; each answer must be complete and from one version of the weights.
   */
  private static int sendUntilStopped(Deployment deployment, int caller, AtomicBoolean stop) {
    CallerClient client = SharedRequests.createClient();
    String system = "handbook of caller " + caller + " ".repeat(8_000);
    int answered = 0;
    while (!stop.get()) {
      PromptRequest prompt =
          SharedRequests.createRequest(
              SharedRequests.TEAM, system, "swap " + caller + " " + answered, 20);
      Answer answer = client.send(deployment.gatewayUrl(caller % 2), prompt);
      assertTrue(answer.complete(), answer.toString());
      boolean singleVersion =
          answer.text().equals(CallerClient.expectedText(prompt, "v1"))
              || answer.text().equals(CallerClient.expectedText(prompt, "v2"));
      assertTrue(singleVersion, "the answer mixes versions of the weights: " + answer.text());
      answered++;
    }
    return answered;
  }
}
