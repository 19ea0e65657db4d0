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

import java.util.List;
import org.landingtrack.bench.CallerClient.Answer;
import org.landingtrack.bench.CallerClient.PromptRequest;
import org.landingtrack.standins.EngineOptions;
import org.landingtrack.standins.EngineServer;
import org.landingtrack.standins.StoreServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Restores of KV cache blocks from store VMs after long gaps, while the store VMs fail. */
public final class KvCacheRestoreProcessTest {
  private static final String HANDBOOK = "rule of the shared handbook ".repeat(1_500);

  private static Deployment startDeployment(int stores) {
    EngineOptions options = new EngineOptions(32, 0.02, 1, 4, 16, true, 1_000, 200, "v1");
    return Deployment.start(
        new DeploymentPlan.Builder().setEngines(1).setStores(stores).setEngine(options).build());
  }

  private static int countManifests(Deployment deployment) {
    int count = 0;
    for (StoreServer store : deployment.stores()) {
      count += store.manifestCount();
    }
    return count;
  }

  private static Answer sendRequest(Deployment deployment, String question) {
    PromptRequest prompt = SharedRequests.createRequest(SharedRequests.TEAM, HANDBOOK, question, 4);
    Answer answer = SharedRequests.createClient().send(deployment.gatewayUrl(0), prompt);
    SharedRequests.assertCompleteOwnAnswer(prompt, answer, "v1");
    return answer;
  }

  /** Evicts the handbook from the engine's prefix cache with other long prompts. */
  private static void evictHandbook(Deployment deployment, int round) {
    for (int i = 0; i < 5; i++) {
      String other = ("other text " + round + " " + i + " ").repeat(3_000);
      PromptRequest prompt =
          SharedRequests.createRequest(SharedRequests.TEAM, other, "push out", 1);
      Answer answer = SharedRequests.createClient().send(deployment.gatewayUrl(i % 2), prompt);
      assertTrue(answer.complete(), answer.toString());
    }
  }

  @Test
  public void aPromptIsRestoredAfterAGap() {
    try (Deployment deployment = startDeployment(2)) {
      sendRequest(deployment, "first");
      sendRequest(deployment, "second");
      Deployment.await("a KV cache export was stored", () -> countManifests(deployment) > 0);
      Deployment.await(
          "the prompt's KV cache is restored from a store VM",
          () -> {
            evictHandbook(deployment, countManifests(deployment));
            Answer answer = sendRequest(deployment, "third");
            String explanation = explain(deployment, answer);
            return explanation.contains("Restored") && answer.cachedTokens() > 0;
          });
    }
  }

  private static String explain(Deployment deployment, Answer answer) {
    Deployment.await(
        "controller 0 explains the request",
        () -> deployment.ctl(0, "explain", answer.requestId()).code() == 0);
    return deployment.ctl(0, "explain", answer.requestId()).text();
  }

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {List.of("partialWrite"), 100},
      {List.of("freeWhileRead"), 100},
      {List.of("full"), 1},
      {List.of("slowLink"), 1_000},
      {List.of("dropEvents"), 50},
      {List.of("partialWrite", "freeWhileRead"), 100},
      {List.of("full", "dropEvents"), 10},
    };
  }

  /** With a faulty store VM every answer is complete and correct: no corrupt block is used. */
  @Test(dataProvider = "faults")
  public void aFaultyStoreCorruptsNoAnswer(List<String> faults, double value) {
    try (Deployment deployment = startDeployment(1)) {
      StoreServer store = deployment.stores().get(0);
      faults.forEach(fault -> store.faults().set(fault, value));
      for (int round = 0; round < 3; round++) {
        sendRequest(deployment, "question " + round);
        sendRequest(deployment, "another " + round);
        evictHandbook(deployment, round);
      }
      for (EngineServer engine : deployment.engines()) {
        assertEquals(engine.corruptBlocksUsed(), 0);
      }
    }
  }

  /**
   * Proves that {@link #aFaultyStoreCorruptsNoAnswer} can fail: when the engines skip the checks of
   * the blocks that they read, the same fault makes them use a corrupt block.
   */
  @Test
  public void withoutBlockChecksACorruptBlockIsUsed() {
    try (Deployment deployment = startDeployment(1)) {
      deployment.stores().get(0).faults().set("partialWrite", 100);
      deployment.engines().forEach(engine -> engine.faults().set("skipChecks", 1));
      sendRequest(deployment, "first");
      sendRequest(deployment, "second");
      Deployment.await("a KV cache export was stored", () -> countManifests(deployment) > 0);
      Deployment.await(
          "an engine used a corrupt block",
          () -> {
            evictHandbook(deployment, countManifests(deployment));
            sendRequest(deployment, "third");
            return deployment.engines().stream().anyMatch(e -> e.corruptBlocksUsed() > 0);
          });
    }
  }

  @Test
  public void anEngineFailureDuringAnExportLeavesNoManifest() {
    try (Deployment deployment = startDeployment(1)) {
      deployment.engines().forEach(engine -> engine.faults().set("failExportAfter", 2));
      sendRequest(deployment, "first");
      sendRequest(deployment, "second");
      evictHandbook(deployment, 1);
      sendRequest(deployment, "third");
      assertEquals(countManifests(deployment), 0);
    }
  }

  @Test
  public void aStoppedStoreFailsNoRequest() {
    try (Deployment deployment = startDeployment(1)) {
      sendRequest(deployment, "first");
      sendRequest(deployment, "second");
      Deployment.await("a KV cache export was stored", () -> countManifests(deployment) > 0);
      deployment.stores().get(0).close();
      evictHandbook(deployment, 1);
      sendRequest(deployment, "third");
      evictHandbook(deployment, 2);
      sendRequest(deployment, "fourth");
    }
  }
}
