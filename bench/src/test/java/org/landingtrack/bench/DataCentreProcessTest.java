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
import org.landingtrack.bench.CallerClient.Answer;
import org.landingtrack.standins.EngineServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Two data centres with two VMs and two engines each; the second test stops one of them. */
public final class DataCentreProcessTest {
  private static final int VM_COUNT = 4;

  private Deployment deployment;

  @BeforeClass
  public void setUp() {
    deployment =
        Deployment.start(
            new DeploymentPlan.Builder()
                .setDataCentres(2)
                .setControllers(VM_COUNT)
                .setGateways(VM_COUNT)
                .setEngines(4)
                .build());
  }

  @AfterClass(alwaysRun = true)
  public void tearDown() {
    if (deployment != null) {
      deployment.close();
    }
  }

  @Test
  public void eachDataCentreServesAndSharesTheConfiguration() {
    for (int i = 0; i < VM_COUNT; i++) {
      Answer answer =
          SharedRequests.createClient()
              .send(deployment.gatewayUrl(i), SharedRequests.createRequest("to " + i, 4));
      assertTrue(answer.complete(), answer.toString());
    }
    assertEquals(deployment.ctl(0, "drain", "engine-0").code(), 0);
    deployment.awaitInForce(0);
    assertEquals(deployment.ctl(1, "undrain", "engine-0").code(), 0);
    deployment.awaitInForce(1);
  }

  /** Stops all VMs and engines with an even index: these are in the first data centre. */
  @Test(dependsOnMethods = "eachDataCentreServesAndSharesTheConfiguration")
  public void theOtherDataCentreServesWhenOneIsLost() {
    List<EngineServer> engines = deployment.engines();
    for (int i = 0; i < VM_COUNT; i += 2) {
      deployment.controller(i).kill();
      deployment.gateway(i).kill();
      engines.get(i).close();
    }
    List<Answer> answers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      answers.add(
          SharedRequests.createClient()
              .send(
                  deployment.gatewayUrl(1 + 2 * (i % 2)),
                  SharedRequests.createRequest("lost " + i, 4)));
    }
    for (Answer answer : answers) {
      assertTrue(answer.complete(), answer.toString());
    }
    assertEquals(deployment.ctl(1, "load", "llm", "v2").code(), 0);
    Deployment.await(
        "the engines of the other data centre have weights v2",
        () ->
            engines.get(1).weightVersion().equals("v2")
                && engines.get(3).weightVersion().equals("v2"));
    Answer after =
        SharedRequests.createClient()
            .send(deployment.gatewayUrl(3), SharedRequests.createRequest("after", 4));
    assertTrue(after.complete(), after.toString());
  }
}
