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
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.landingtrack.bench.CallerClient.Answer;
import org.landingtrack.bench.CallerClient.PromptRequest;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the answers to valid and invalid requests of callers, with real processes. */
public final class CallerApiProcessTest {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final String VALID_BODY =
      "{\"model\":\"llm\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

  private Deployment deployment;
  private final OkHttpClient http = new OkHttpClient();

  @BeforeClass
  public void setUp() {
    deployment = Deployment.start(new DeploymentPlan.Builder().setPlainServers(1).build());
  }

  @AfterClass(alwaysRun = true)
  public void tearDown() {
    if (deployment != null) {
      deployment.close();
    }
  }

  private record Reply(int status, JsonNode body, String requestId) {}

  private Reply post(String key, String body, String header, String value) throws Exception {
    Request.Builder request =
        new Request.Builder()
            .url(deployment.gatewayUrl(0) + "/v1/chat/completions")
            .post(RequestBody.create(body, JSON_TYPE));
    if (!key.isEmpty()) {
      request.header("Authorization", key);
    }
    if (!header.isEmpty()) {
      request.header(header, value);
    }
    try (Response response = http.newCall(request.build()).execute()) {
      String id = response.header("Landingtrack-Request-Id", "");
      return new Reply(response.code(), Deployment.parseJson(response.body().string()), id);
    }
  }

  @DataProvider
  public Object[][] bad() {
    String key = "Bearer " + DeploymentPlan.teamKey("quotes");
    String messages = ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";
    return new Object[][] {
      // authorization, body, header, value, status, kind, message
      {
        "",
        VALID_BODY,
        "",
        "",
        401,
        "UNAUTHENTICATED",
        "header Authorization must be 'Bearer <team key>'"
      },
      {
        "Basic x",
        VALID_BODY,
        "",
        "",
        401,
        "UNAUTHENTICATED",
        "header Authorization must be 'Bearer <team key>'"
      },
      {"Bearer guess", VALID_BODY, "", "", 401, "UNAUTHENTICATED", "the key is not known"},
      {key, "{", "", "", 400, "BAD_REQUEST", "the body is not JSON (line 1)"},
      {key, "", "", "", 400, "BAD_REQUEST", "the body must be a JSON object"},
      {key, "[]", "", "", 400, "BAD_REQUEST", "the body must be a JSON object"},
      {key, "{}", "", "", 400, "BAD_REQUEST", "'model' must name a service"},
      {
        key,
        "{\"model\":\"llm\"}",
        "",
        "",
        400,
        "BAD_REQUEST",
        "'messages' must be a list of 1 to 10000 messages"
      },
      {
        key,
        "{\"model\":\"llm\",\"messages\":[{}]}",
        "",
        "",
        400,
        "BAD_REQUEST",
        "each message needs a text 'role' and a text 'content'"
      },
      {
        key,
        "{\"model\":\"llm\",\"max_tokens\":0" + messages + "}",
        "",
        "",
        400,
        "BAD_REQUEST",
        "'max_tokens' must be a whole number from 1 to 1000000"
      },
      {
        key,
        "{\"model\":\"llm\",\"stream\":1" + messages + "}",
        "",
        "",
        400,
        "BAD_REQUEST",
        "'stream' must be true or false"
      },
      {
        key,
        "{\"model\":\"none\"" + messages + "}",
        "",
        "",
        404,
        "NOT_FOUND",
        "service 'none' does not exist"
      },
      {
        key,
        "{\"model\":\"portal\"" + messages + "}",
        "",
        "",
        404,
        "NOT_FOUND",
        "service 'portal' does not exist"
      },
      {
        key,
        "{\"model\":\"kept\"" + messages + "}",
        "",
        "",
        404,
        "NOT_FOUND",
        "service 'kept' does not exist"
      },
      {
        key,
        VALID_BODY,
        "Landingtrack-Deadline-Ms",
        "soon",
        400,
        "BAD_REQUEST",
        "header Landingtrack-Deadline-Ms must be a whole number from 1 to 3600000"
      },
      {
        key,
        VALID_BODY,
        "Landingtrack-Priority",
        "10",
        400,
        "BAD_REQUEST",
        "header Landingtrack-Priority must be a whole number from 0 to 9"
      },
      {
        key,
        VALID_BODY,
        "Landingtrack-No-Repeat",
        "yes",
        400,
        "BAD_REQUEST",
        "header Landingtrack-No-Repeat must be true or false"
      },
      {
        key,
        "{\"x\":\"" + "y".repeat(4_000_001) + "\"}",
        "",
        "",
        413,
        "TOO_LARGE",
        "the body is longer than 4000000 bytes"
      },
    };
  }

  @Test(dataProvider = "bad")
  public void aBadRequestGetsTheSpecifiedError(
      String authorization,
      String body,
      String header,
      String value,
      int status,
      String kind,
      String message)
      throws Exception {
    Reply reply = post(authorization, body, header, value);
    JsonNode error = reply.body().path("error");
    assertEquals(error.path("message").asText(), message);
    assertEquals(reply.status(), status);
    assertEquals(error.path("kind").asText(), kind);
    assertEquals(error.path("ran").asText(), "not-run");
    assertTrue(reply.requestId().startsWith("entry-0."), reply.requestId());
  }

  @Test
  public void aRequestWithoutStreamingGetsOneResponse() throws Exception {
    Reply reply = post("Bearer " + DeploymentPlan.teamKey("quotes"), VALID_BODY, "", "");
    assertEquals(reply.status(), 200);
    String text = reply.body().path("choices").path(0).path("message").path("content").asText();
    assertTrue(text.startsWith("[hi]"), text);
    assertEquals(reply.body().path("usage").path("completion_tokens").asInt(), 3);
  }

  @Test
  public void concurrentCallersGetTheirOwnAnswers() throws Exception {
    CallerClient client = SharedRequests.createClient();
    List<Answer> answers =
        SharedRequests.runConcurrently(
            40,
            i ->
                client.send(
                    deployment.gatewayUrl(i % 2),
                    SharedRequests.createRequest("crossed " + i, 10)));
    for (int i = 0; i < answers.size(); i++) {
      SharedRequests.assertCompleteOwnAnswer(
          SharedRequests.createRequest("crossed " + i, 10), answers.get(i), "v1");
    }
  }

  /** Two teams with the same prompt share no cached prefix: each computes all of it. */
  @Test
  public void teamsShareNoCachedPrefix() {
    CallerClient client = SharedRequests.createClient();
    String system = "shared text ".repeat(2_000);
    PromptRequest own = SharedRequests.createRequest("quotes", system, "first", 2);
    PromptRequest again = SharedRequests.createRequest("quotes", system, "second", 2);
    PromptRequest other = SharedRequests.createRequest("parcels", system, "third", 2);
    assertEquals(client.send(deployment.gatewayUrl(0), own).cachedTokens(), 0);
    assertTrue(client.send(deployment.gatewayUrl(0), again).cachedTokens() > 0);
    assertEquals(client.send(deployment.gatewayUrl(0), other).cachedTokens(), 0);
  }

  @Test
  public void aPlainServiceIsReachable() {
    PlainServiceClient caller = new PlainServiceClient(deployment.gatewayUrl(1), "quotes");
    PlainServiceClient.Reply reply = caller.get(Deployment.PORTAL, "app/list");
    assertEquals(reply.status(), 200);
    assertEquals(reply.body(), "{\"server\":\"portal-0\",\"path\":\"/app/list\"}");
    assertEquals(caller.get("none", "app/list").kind(), "NOT_FOUND");
  }

  /**
   * A request whose body never ends gets status 408 after a time limit; meanwhile another caller is
   * served.
   */
  @Test
  public void aSlowBodyTimesOut() throws Exception {
    int port = URI.create(deployment.gatewayUrl(0)).getPort();
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
      OutputStream out = socket.getOutputStream();
      String requestHead =
          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n"
              + "Authorization: Bearer "
              + DeploymentPlan.teamKey("quotes")
              + "\r\n\r\n{";
      out.write(requestHead.getBytes(StandardCharsets.US_ASCII));
      out.flush();
      Answer other =
          SharedRequests.createClient()
              .send(deployment.gatewayUrl(0), SharedRequests.createRequest("meanwhile", 2));
      assertTrue(other.complete(), other.toString());
      String status = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
      assertEquals(status, "HTTP/1.1 408");
    }
  }

  @Test
  public void aRequestIsExplainedFromAnyController() {
    Answer answer =
        SharedRequests.createClient()
            .send(deployment.gatewayUrl(0), SharedRequests.createRequest("explain this one", 2));
    for (int controller = 0; controller < 2; controller++) {
      int index = controller;
      Deployment.await(
          "controller " + controller + " explains the request",
          () -> deployment.ctl(index, "explain", answer.requestId()).code() == 0);
      String text = deployment.ctl(index, "explain", answer.requestId()).text();
      assertTrue(text.contains("Team quotes asked service llm."), text);
      assertTrue(text.contains("Chosen under weight version v1: engine-"), text);
    }
    Deployment.CtlResult unknown = deployment.ctl(0, "explain", "entry-9.00");
    assertEquals(unknown.code(), 1);
    assertEquals(unknown.text().trim(), "Nothing is known about entry-9.00 (any more).");
  }
}
