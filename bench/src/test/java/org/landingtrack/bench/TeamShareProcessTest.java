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
import org.testng.annotations.Test;

/**
 * A team whose callers all use one VM gets more than an equal share of its rate limit there, and an
 * equal share again when no controller is left.
 */
public final class TeamShareProcessTest {
  private static final int GATEWAY_COUNT = 3;
  private static final int TEAM_RATE = 30;
  private static final String SHARE_METRIC = "team_share{team=\"" + SharedRequests.TEAM + "\"}";

  @Test
  public void aShareFollowsTheTrafficAndEndsWithTheControllers() throws Exception {
    DeploymentPlan plan =
        new DeploymentPlan.Builder()
            .setControllers(GATEWAY_COUNT)
            .setGateways(GATEWAY_COUNT)
            .setTeamRate(TEAM_RATE)
            .build();
    AtomicBoolean stop = new AtomicBoolean();
    ExecutorService executor = Executors.newCachedThreadPool();
    try (Deployment deployment = Deployment.start(plan)) {
      List<Future<?>> callers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        callers.add(executor.submit(() -> sendUntilStopped(deployment, stop)));
      }
      String gateway = deployment.gatewayUrl(0);
      Deployment.await(
          "the gateway's share is more than an equal one",
          () -> deployment.metric(gateway, SHARE_METRIC) > 0.5);
      for (int i = 0; i < GATEWAY_COUNT; i++) {
        deployment.controller(i).kill();
      }
      Deployment.await(
          "the gateway has no share from the controllers any more",
          () -> deployment.metric(gateway, SHARE_METRIC) < 0);
      stop.set(true);
      for (Future<?> caller : callers) {
        caller.get(60, TimeUnit.SECONDS);
      }
      executor.shutdown();
    }
  }

  /**
   * Sends requests; each answer must be complete or a refusal by the team's rate limit, not run.
   */
  private static void sendUntilStopped(Deployment deployment, AtomicBoolean stop) {
    CallerClient client = SharedRequests.createClient();
    for (int i = 0; !stop.get(); i++) {
      Answer answer =
          client.send(deployment.gatewayUrl(0), SharedRequests.createRequest("share " + i, 1));
      if (!answer.complete()) {
        assertEquals(answer.kind(), "RATE_LIMITED", answer.toString());
        assertTrue(answer.ran().equals("not-run"), answer.toString());
      }
    }
  }
}
