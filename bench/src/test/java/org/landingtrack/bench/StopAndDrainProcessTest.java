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
import org.landingtrack.bench.CallerClient.Answer;
import org.landingtrack.bench.CallerClient.PromptRequest;
import org.landingtrack.standins.EngineOptions;
import org.landingtrack.standins.EngineServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A graceful stop interrupts no request; a leaving backend server gets no new requests. */
public final class StopAndDrainProcessTest {
  private static final int ANSWER_TOKENS = 40;

  private Deployment deployment;
  private final CallerClient client = SharedRequests.createClient();

  @BeforeMethod
  public void setUp() {
    deployment =
        Deployment.start(
            new DeploymentPlan.Builder()
                .setEngines(3)
                .setEngine(EngineOptions.forTests("v1").withDecodeMs(20))
                .build());
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    if (deployment != null) {
      deployment.close();
    }
  }

  private List<Future<Answer>> startRequests(ExecutorService executor, int count, int gateway) {
    List<Future<Answer>> running = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      PromptRequest prompt = SharedRequests.createRequest("running " + i, ANSWER_TOKENS);
      running.add(executor.submit(() -> client.send(deployment.gatewayUrl(gateway), prompt)));
    }
    return running;
  }

  private void awaitRunning(int count) {
    Deployment.await(
        "all requests run",
        () -> {
          int runs = 0;
          for (EngineServer engine : deployment.engines()) {
            runs += engine.runs().values().stream().mapToInt(Integer::intValue).sum();
          }
          return runs >= count;
        });
  }

  @Test
  public void aStoppingGatewayFinishesItsStreamsAndExitsWithZero() throws Exception {
    ExecutorService executor = Executors.newCachedThreadPool();
    List<Future<Answer>> running = startRequests(executor, 10, 0);
    awaitRunning(10);
    Future<Integer> code = executor.submit(() -> deployment.gateway(0).stop());
    Deployment.await(
        "the stopping gateway refuses new requests",
        () -> {
          Answer refused =
              client.send(deployment.gatewayUrl(0), SharedRequests.createRequest("new work", 2));
          return refused.kind().equals("STOPPING") || refused.status() == 0;
        });
    for (int i = 0; i < running.size(); i++) {
      Answer answer = running.get(i).get(60, TimeUnit.SECONDS);
      SharedRequests.assertCompleteOwnAnswer(
          SharedRequests.createRequest("running " + i, ANSWER_TOKENS), answer, "v1");
    }
    assertEquals((int) code.get(60, TimeUnit.SECONDS), 0);
    executor.shutdownNow();
  }

  @Test
  public void aStoppingControllerInterruptsNoRequest() throws Exception {
    ExecutorService executor = Executors.newCachedThreadPool();
    List<Future<Answer>> running = startRequests(executor, 10, 0);
    awaitRunning(10);
    assertEquals(deployment.controller(0).stop(), 0);
    Answer whileStopped =
        client.send(
            deployment.gatewayUrl(0), SharedRequests.createRequest("without its controller", 4));
    assertTrue(whileStopped.complete(), whileStopped.toString());
    for (int i = 0; i < running.size(); i++) {
      Answer answer = running.get(i).get(60, TimeUnit.SECONDS);
      SharedRequests.assertCompleteOwnAnswer(
          SharedRequests.createRequest("running " + i, ANSWER_TOKENS), answer, "v1");
    }
    executor.shutdownNow();
  }

  private enum LeavingSignal {
    OPERATOR,
    VM_LIST,
    DELAYED_VM_LIST,
    SERVER_NOTICE,
    OPERATOR_WITH_A_DEAD_CONTROLLER
  }

  @DataProvider
  public Object[][] signals() {
    return new Object[][] {
      {LeavingSignal.OPERATOR},
      {LeavingSignal.VM_LIST},
      {LeavingSignal.DELAYED_VM_LIST},
      {LeavingSignal.SERVER_NOTICE},
      {LeavingSignal.OPERATOR_WITH_A_DEAD_CONTROLLER},
    };
  }

  @Test(dataProvider = "signals")
  public void aLeavingServerGetsNoNewRequestsAndFinishesItsOwn(LeavingSignal signal)
      throws Exception {
    ExecutorService executor = Executors.newCachedThreadPool();
    List<Future<Answer>> running = startRequests(executor, 9, 1);
    awaitRunning(9);
    EngineServer leaving = deployment.engines().get(0);
    signalLeaving(signal, leaving);
    int before = countRuns(leaving);
    for (int i = 0; i < 30; i++) {
      Answer answer =
          client.send(deployment.gatewayUrl(1), SharedRequests.createRequest("after " + i, 2));
      assertTrue(answer.complete(), answer.toString());
    }
    assertEquals(countRuns(leaving), before, "the leaving server got new requests");
    for (int i = 0; i < running.size(); i++) {
      Answer answer = running.get(i).get(60, TimeUnit.SECONDS);
      SharedRequests.assertCompleteOwnAnswer(
          SharedRequests.createRequest("running " + i, ANSWER_TOKENS), answer, "v1");
    }
    executor.shutdownNow();
  }

  private void signalLeaving(LeavingSignal signal, EngineServer leaving) {
    switch (signal) {
      case OPERATOR -> drain();
      case VM_LIST -> markLeavingInVmList();
      case DELAYED_VM_LIST -> {
        deployment.vmList().faults().set("lagMs", 1_000);
        markLeavingInVmList();
      }
      case SERVER_NOTICE -> leaving.faults().set("leaving", 1);
      case OPERATOR_WITH_A_DEAD_CONTROLLER -> {
        deployment.controller(1).kill();
        drain();
      }
    }
  }

  private void drain() {
    assertEquals(deployment.ctl(0, "drain", "engine-0").code(), 0);
    deployment.awaitInForce(0);
  }

  private void markLeavingInVmList() {
    deployment.publishVmList(List.of("engine-0"));
    for (int i = 0; i < deployment.gatewayCount(); i++) {
      String url = deployment.gatewayUrl(i);
      Deployment.await(
          "a gateway counts one leaving server",
          () -> deployment.metric(url, "leaving_servers") == 1);
    }
  }

  private static int countRuns(EngineServer engine) {
    return engine.runs().values().stream().mapToInt(Integer::intValue).sum();
  }
}
