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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.landingtrack.bench.CallerClient.Answer;
import org.landingtrack.internal.base.Json;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An accepted configuration change takes effect on every process and is never reverted. */
public final class ConfigProcessTest {
  private Deployment deployment;

  @BeforeClass
  public void setUp() {
    deployment =
        Deployment.start(new DeploymentPlan.Builder().setControllers(4).setEngines(2).build());
  }

  @AfterClass(alwaysRun = true)
  public void tearDown() {
    if (deployment != null) {
      deployment.close();
    }
  }

  /** Writes a model that nothing depends on, with a number by which its version is recognized. */
  private Deployment.CtlResult putModel(int controller, String name, int tokens) throws Exception {
    ObjectNode document = Json.LENIENT.createObjectNode();
    ObjectNode object = document.putArray("objects").addObject();
    object.put("kind", "model").put("name", name);
    object.putObject("spec").put("contextTokens", tokens).put("kvBytesPerToken", 1);
    Path path = deployment.folder().resolve(name + "-" + tokens + ".json");
    Files.writeString(path, document.toString());
    return deployment.ctl(controller, "--wait", "30", "--output", "json", "apply", path.toString());
  }

  private int readContextTokens(int controller, String name) {
    JsonNode object =
        Deployment.parseJson(
            deployment.ctl(controller, "--output", "json", "get", "model", name).text());
    return object.path("spec").path("contextTokens").asInt(-1);
  }

  private void awaitOnAllControllers(String name, int tokens) {
    for (int c = 0; c < deployment.controllerCount(); c++) {
      int index = c;
      Deployment.await(
          "controller " + c + " has the change", () -> readContextTokens(index, name) == tokens);
    }
  }

  @Test
  public void aChangeThroughAnyControllerIsInForceEverywhere() throws Exception {
    for (int i = 0; i < deployment.controllerCount(); i++) {
      Deployment.CtlResult result = putModel(i, "everywhere", 100 + i);
      assertEquals(result.code(), 0, result.text());
      assertTrue(result.text().contains("in force on all"), result.text());
      awaitOnAllControllers("everywhere", 100 + i);
    }
  }

  @DataProvider
  public Object[][] lost() {
    return new Object[][] {{1}, {2}, {4}};
  }

  @Test(dataProvider = "lost")
  public void aWriteWithALostAnswerIsAppliedOnce(int answers) throws Exception {
    deployment.objectApi().faults().set("lostAnswers", answers);
    String name = "lost-" + answers;
    Deployment.CtlResult result = putModel(0, name, 7);
    deployment.objectApi().faults().set("lostAnswers", 0);
    assertEquals(result.code(), 0, result.text());
    awaitOnAllControllers(name, 7);
    String audit = deployment.ctl(1, "audit", "model", name).text();
    assertEquals(audit.lines().count(), 1, audit);
  }

  @DataProvider
  public Object[][] platformTroubles() {
    return new Object[][] {
      // faults of the Object API, fault of the VM list (empty for none)
      {Map.of("slowMs", 400.0), ""},
      {Map.of("tooOld", 6.0), ""},
      {Map.of("slowMs", 200.0, "lostAnswers", 2.0), ""},
      {Map.of("tooOld", 4.0, "slowMs", 100.0), "out"},
      {Map.of(), "out"},
    };
  }

  /**
   * A slow platform, expired watches (answer: too old) and an unavailable VM list may delay a
   * change, but do not lose it.
   */
  @Test(dataProvider = "platformTroubles")
  public void aFaultyPlatformLosesNoChange(Map<String, Double> faults, String vmListFault)
      throws Exception {
    String name = "troubled-" + faults.hashCode() + vmListFault;
    faults.forEach((fault, value) -> deployment.objectApi().faults().set(fault, value));
    if (!vmListFault.isEmpty()) {
      deployment.vmList().faults().set(vmListFault, 1);
    }
    try {
      for (int tokens = 1; tokens <= 3; tokens++) {
        Deployment.CtlResult result = putModel(tokens, name, tokens);
        assertEquals(result.code(), 0, result.text());
      }
      awaitOnAllControllers(name, 3);
      Answer answer =
          SharedRequests.createClient()
              .send(deployment.gatewayUrl(0), SharedRequests.createRequest("troubled", 3));
      assertTrue(answer.complete(), answer.toString());
    } finally {
      faults.keySet().forEach(fault -> deployment.objectApi().faults().set(fault, 0));
      deployment.vmList().faults().set("out", 0);
    }
  }

  @Test
  public void concurrentOperatorsLoseNoAcceptedChange() throws Exception {
    putModel(0, "raced", 1);
    List<Deployment.CtlResult> results =
        SharedRequests.runConcurrently(
            6,
            i -> {
              try {
                return putModel(i % 4, "raced", 1_000 + i);
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    long accepted = results.stream().filter(result -> result.code() == 0).count();
    for (Deployment.CtlResult result : results) {
      assertTrue(result.code() == 0 || result.text().contains("VERSION_CONFLICT"), result.text());
    }
    Deployment.await(
        "the audit trail contains every accepted change",
        () -> deployment.ctl(2, "audit", "model", "raced").text().lines().count() == accepted + 1);
  }

  /**
   * Processes that restart while the platform is unavailable get the configuration from their
   * peers, and none goes back to an older one.
   */
  @Test
  public void restartsDuringAnOutageKeepTheNewestConfiguration() throws Exception {
    putModel(0, "outage", 1);
    putModel(0, "outage", 2);
    awaitOnAllControllers("outage", 2);
    deployment.objectApi().faults().set("out", 1);
    for (int i = 0; i < 2; i++) {
      deployment.restartController(i);
      int index = i;
      Deployment.await(
          "the restarted controller has the newest change from its peers",
          () -> readContextTokens(index, "outage") == 2);
    }
    deployment.restartGateway(0);
    deployment.awaitReady(0);
    Answer answer =
        SharedRequests.createClient()
            .send(deployment.gatewayUrl(0), SharedRequests.createRequest("during the outage", 3));
    assertTrue(answer.complete(), answer.toString());
    Deployment.CtlResult refused = putModel(2, "outage", 3);
    assertEquals(refused.code(), 1);
    assertTrue(refused.text().contains("PLATFORM_UNAVAILABLE"), refused.text());
    deployment.objectApi().faults().set("out", 0);
    Deployment.await(
        "changes are accepted after the outage",
        () -> {
          try {
            return putModel(3, "outage", 4).code() == 0;
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
    awaitOnAllControllers("outage", 4);
  }

  /**
   * A controller that was suspended during some changes catches up after it resumes, and never
   * answers with an older version than before.
   */
  @Test
  public void aResumedControllerCatchesUp() throws Exception {
    putModel(0, "frozen", 1);
    awaitOnAllControllers("frozen", 1);
    deployment.controller(3).suspend();
    for (int tokens = 2; tokens <= 4; tokens++) {
      putModel(0, "frozen", tokens);
    }
    deployment.controller(3).resume();
    int last = 0;
    while (last < 4) {
      int seen = readContextTokens(3, "frozen");
      assertTrue(seen >= last, "contextTokens reverted from " + last + " to " + seen);
      last = Math.max(last, seen);
    }
  }

  @Test
  public void aReaderMayNotWrite() {
    Deployment.CtlResult read = deployment.ctlWithKey("reader", 0, "list", "team");
    assertEquals(read.code(), 0, read.text());
    Deployment.CtlResult write = deployment.ctlWithKey("reader", 0, "delete", "team", "quotes");
    assertEquals(
        write.text().trim(), "landingtrack ctl: FORBIDDEN: this call needs the writer role");
    Deployment.CtlResult nobody = deployment.ctlWithKey("guess", 0, "list", "team");
    assertEquals(
        nobody.text().trim(),
        "landingtrack ctl: UNAUTHENTICATED: the operator key is missing or not known");
  }
}
