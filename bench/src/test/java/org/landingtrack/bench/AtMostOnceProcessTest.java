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
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.claim.ClaimShards;
import org.landingtrack.standins.EngineOptions;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A request marked as not repeatable runs at most once, whichever process or answer is lost. */
public final class AtMostOnceProcessTest {
  private Deployment deployment;
  private final CallerClient client = SharedRequests.createClient();

  @BeforeClass
  public void setUp() {
    deployment =
        Deployment.start(
            new DeploymentPlan.Builder()
                .setControllers(3)
                .setEngine(EngineOptions.forTests("v1").withDecodeMs(20))
                .setPlainServers(2)
                .build());
  }

  @AfterClass(alwaysRun = true)
  public void tearDown() {
    if (deployment != null) {
      deployment.close();
    }
  }

  @DataProvider
  public Object[][] lostAnswers() {
    return new Object[][] {{0}, {1}, {2}};
  }

  /**
   * Requests with one key arrive at two gateways concurrently; answers to platform writes are lost.
   */
  @Test(dataProvider = "lostAnswers")
  public void theSameKeyOnTwoGatewaysAtOnceRunsOnce(int lostAnswerCount) throws Exception {
    deployment.objectApi().faults().set("lostAnswers", lostAnswerCount);
    List<Answer> answers =
        SharedRequests.runConcurrently(
            24,
            i -> {
              String name = "race " + lostAnswerCount + " " + i / 4;
              return client.send(
                  deployment.gatewayUrl(i % 2), SharedRequests.createNoRepeatRequest(name, name));
            });
    for (int question = 0; question < 6; question++) {
      String name = "race " + lostAnswerCount + " " + question;
      int whole = 0;
      for (Answer answer : answers.subList(question * 4, question * 4 + 4)) {
        whole += answer.complete() ? 1 : 0;
        assertTrue(answer.complete() || answer.kind().equals("DUPLICATE_KEY"), answer.toString());
      }
      assertEquals(whole, 1, name);
      assertEquals(SharedRequests.countRuns(deployment, name), 1, name);
    }
  }

  /** The gateway is killed while a request runs; the caller retries through another gateway. */
  @Test
  public void aRetryAfterAGatewayCrashDoesNotRunAgain() throws Exception {
    String name = "gateway dies";
    Thread first =
        new Thread(
            () ->
                client.send(
                    deployment.gatewayUrl(0), SharedRequests.createNoRepeatRequest(name, name)));
    first.start();
    Deployment.await(
        "the request runs on an engine", () -> SharedRequests.countRuns(deployment, name) == 1);
    deployment.gateway(0).kill();
    Answer second =
        client.send(deployment.gatewayUrl(1), SharedRequests.createNoRepeatRequest(name, name));
    first.join();
    assertEquals(second.kind(), "DUPLICATE_KEY");
    assertEquals(second.ran(), "unknown");
    assertEquals(SharedRequests.countRuns(deployment, name), 1);
    deployment.restartGateway(0);
    deployment.awaitReady(0);
  }

  /**
   * The controller that owns the key's shard is suspended, another one takes over, and the first is
   * resumed with its old state.
   */
  @Test
  public void aResumedShardOwnerDoesNotClaimAgain() throws Exception {
    String name = "owner frozen";
    int owner = ownerOf(name);
    Answer before =
        client.send(
            deployment.gatewayUrl(1),
            SharedRequests.createNoRepeatRequest("warm " + name, "w" + name));
    assertTrue(before.complete(), before.toString());
    deployment.controller(owner).suspend();
    Answer first =
        client.send(deployment.gatewayUrl(1), SharedRequests.createNoRepeatRequest(name, name));
    deployment.controller(owner).resume();
    assertTrue(first.complete() || first.ran().equals("not-run"), first.toString());
    List<Answer> retries = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      retries.add(
          client.send(
              deployment.gatewayUrl(i % 2), SharedRequests.createNoRepeatRequest(name, name)));
    }
    long whole = retries.stream().filter(Answer::complete).count() + (first.complete() ? 1 : 0);
    assertEquals(whole, 1, first + ", answers to retries: " + retries);
    assertEquals(SharedRequests.countRuns(deployment, name), 1);
  }

  private int ownerOf(String requestKey) {
    String hash =
        Hashes.sha256Hex(SharedRequests.TEAM + "\n" + Deployment.LLM + "\n" + requestKey)
            .substring(0, 32);
    List<String> vms = List.of("entry-0", "entry-1", "entry-2");
    String owner = Hashes.rendezvous(ClaimShards.shardOf(hash), vms, vm -> vm).get(0);
    return vms.indexOf(owner);
  }

  /**
   * While the platform is unavailable, a request with a key is refused and does not run, as its
   * error states. The key is not claimed, and works after the outage.
   */
  @Test
  public void aRequestRefusedInAnOutageDoesNotRunAndItsKeyStaysFree() {
    String name = "platform out";
    deployment.objectApi().faults().set("out", 1);
    Answer refused =
        client.send(deployment.gatewayUrl(0), SharedRequests.createNoRepeatRequest(name, name));
    assertEquals(refused.kind(), "PLATFORM_UNAVAILABLE");
    assertEquals(refused.ran(), "not-run");
    assertEquals(SharedRequests.countRuns(deployment, name), 0);
    Answer other =
        client.send(deployment.gatewayUrl(0), SharedRequests.createRequest("may be repeated", 4));
    assertTrue(
        other.complete(),
        "a request that needs no claim failed during the platform outage: " + other);
    deployment.objectApi().faults().set("out", 0);
    Deployment.await(
        "a request with the key succeeds after the outage",
        () ->
            client
                .send(deployment.gatewayUrl(1), SharedRequests.createNoRepeatRequest(name, name))
                .complete());
    assertEquals(SharedRequests.countRuns(deployment, name), 1);
  }

  /** The server drops the connection after it ran the call; the gateway must not send it again. */
  @Test
  public void aPlainCallWithALostAnswerIsNotRetried() throws Exception {
    deployment.plainServers().forEach(plain -> plain.faults().set("dropAfterRun", 1));
    PlainServiceClient caller =
        new PlainServiceClient(deployment.gatewayUrl(0), SharedRequests.TEAM);
    PlainServiceClient.Reply reply =
        caller.post(Deployment.PORTAL, "app/book", "order-7", "order-7");
    assertEquals(reply.status(), 502);
    assertEquals(reply.kind(), "OUTCOME_UNKNOWN");
    PlainServiceClient.Reply retry =
        caller.post(Deployment.PORTAL, "app/book", "order-7", "order-7");
    assertEquals(retry.kind(), "DUPLICATE_KEY");
    int runs = 0;
    for (var plain : deployment.plainServers()) {
      plain.faults().set("dropAfterRun", 0);
      runs += plain.runs().getOrDefault("order-7", 0);
    }
    assertEquals(runs, 1);
  }
}
