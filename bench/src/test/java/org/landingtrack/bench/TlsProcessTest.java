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
import org.landingtrack.internal.tls.CertificateIssuer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** TLS between processes and from operators to controllers, with certificate renewal. */
public final class TlsProcessTest {
  private static final int RENEWED_DAYS = 20;

  private Deployment deployment;

  @BeforeClass
  public void setUp() {
    deployment = Deployment.start(new DeploymentPlan.Builder().setTls(true).build());
    CertificateIssuer.createAuthority(deployment.folder().resolve("foreign"), 10);
  }

  @AfterClass(alwaysRun = true)
  public void tearDown() {
    if (deployment != null) {
      deployment.close();
    }
  }

  @DataProvider
  public Object[][] operators() {
    return new Object[][] {
      // certificate authority that the operator trusts (empty: no TLS), exit code
      {"authority", 0},
      {"foreign", 1},
      {"", 1},
    };
  }

  @Test(dataProvider = "operators")
  public void operatorsAcceptOnlyATrustedCertificate(String authority, int code) {
    List<String> arguments = new ArrayList<>(List.of("--key", "operator"));
    if (!authority.isEmpty()) {
      arguments.addAll(List.of("--ca", deployment.authorityCertificate(authority).toString()));
    }
    arguments.add("status");
    Deployment.CtlResult result = deployment.ctlWithArguments(0, arguments);
    assertEquals(result.code(), code, result.text());
  }

  /** Certificates are replaced one process after another, while callers send requests. */
  @Test
  public void aCertificateRenewalUnderLoadInterruptsNoRequest() throws Exception {
    AtomicBoolean stop = new AtomicBoolean();
    ExecutorService executor = Executors.newCachedThreadPool();
    List<Future<Integer>> callers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int caller = i;
      callers.add(executor.submit(() -> sendUntilStopped(caller, stop)));
    }
    double expiryBefore = expiry(deployment.controllerUrl(0));
    for (int i = 0; i < 2; i++) {
      deployment.renewCertificate("controller", i, RENEWED_DAYS);
      deployment.renewCertificate("gateway", i, RENEWED_DAYS);
    }
    for (int i = 0; i < 2; i++) {
      String controller = deployment.controllerUrl(i);
      String gateway = deployment.gatewayUrl(i);
      Deployment.await(
          "renewed", () -> expiry(controller) > expiryBefore && expiry(gateway) > expiryBefore);
    }
    deployment.restartController(1);
    assertEquals(deployment.ctl(0, "drain", "engine-0").code(), 0);
    deployment.awaitInForce(0);
    stop.set(true);
    int answered = 0;
    for (Future<Integer> caller : callers) {
      answered += caller.get(60, TimeUnit.SECONDS);
    }
    executor.shutdownNow();
    assertTrue(answered > 0);
  }

  private double expiry(String url) {
    return deployment.metric(url, "certificate_expires_seconds");
  }

  private int sendUntilStopped(int caller, AtomicBoolean stop) {
    CallerClient client = SharedRequests.createClient();
    int answered = 0;
    while (!stop.get()) {
      PromptRequest prompt =
          SharedRequests.createRequest(
              SharedRequests.TEAM, "short", "tls " + caller + " " + answered, 4);
      Answer answer = client.send(deployment.gatewayUrl(caller % 2), prompt);
      assertTrue(answer.complete(), answer.toString());
      answered++;
    }
    return answered;
  }
}
