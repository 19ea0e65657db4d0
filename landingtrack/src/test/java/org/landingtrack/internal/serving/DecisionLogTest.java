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
package org.landingtrack.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.landingtrack.internal.base.CapturedLogLines;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.landingtrack.internal.serving.ServingState.UpdateSource;
import org.testng.annotations.Test;

/** Tests the JSON log lines that decisions write to standard output. */
public final class DecisionLogTest {
  private static final int FLOOD = 3 * RateLimitedDecisionLog.MAX_REQUESTS_PER_SECOND;

  private static List<JsonNode> parse(List<String> lines) throws Exception {
    List<JsonNode> parsed = new ArrayList<>();
    for (String line : lines) {
      parsed.add(new ObjectMapper().readTree(line));
    }
    return parsed;
  }

  private static int count(List<JsonNode> lines, String event) {
    int count = 0;
    for (JsonNode line : lines) {
      if (line.path("event").asText().equals(event)) {
        count++;
      }
    }
    return count;
  }

  @Test
  public void eachDecisionIsALineWithTheRequestsId() throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
      ServingFixture world = new ServingFixture();
      world.serve("/never/x");
      world.transport.last().answer(200, "hello");
      world.serve("/safe/x");
      world.transport.last().listener.outcomeUnknown("reset \"by\" peer\n");
      world.transport.last().answer(200, "hello");
      world.serve("/never/x");
      world.transport.last().listener.notRun(NotRunReason.FULL, "full");
      world.serve("/once/x");
      world.transport.last().startStream();
      world.transport.last().listener.outcomeUnknown("reset");
      List<JsonNode> lines = parse(captured.lines());
      for (JsonNode line : lines) {
        assertTrue(line.has("time") && line.has("part") && line.has("event"), line.toString());
        boolean ofRequest = line.path("part").asText().equals("request");
        assertEquals(line.path("requestId").asText(), ofRequest ? "id-1" : "", line.toString());
      }
      assertEquals(count(lines, "configuration in force"), 1);
      assertEquals(count(lines, "server joined"), 5);
      assertEquals(count(lines, "routed"), 5);
      assertEquals(count(lines, "try failed"), 3);
      assertEquals(count(lines, "answered"), 2);
      assertEquals(count(lines, "refused"), 1);
      assertEquals(count(lines, "cut"), 1);
    }
  }

  @Test
  public void aRoutedLineTellsTheSoftwareVersionAndWhatIsResumed() throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
      ServingFixture world = new ServingFixture();
      world.serve("/chat/x");
      world.transport.last().startStream();
      world.transport.last().event("7");
      world.transport.last().listener.outcomeUnknown("reset");
      List<JsonNode> routed = new ArrayList<>();
      for (JsonNode line : parse(captured.lines())) {
        if (line.path("event").asText().equals("routed")) {
          routed.add(line);
        }
      }
      assertTrue(routed.get(0).has("softwareVersion"));
      assertTrue(!routed.get(0).has("resumeAfter"));
      assertEquals(routed.get(1).path("resumeAfter").asText(), "7");
    }
  }

  @Test
  public void theOriginOfAResumedStreamIsLoggedWithItsSource() throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
      ServingFixture world = new ServingFixture();
      world.serveResumed("/chat/x", "7", "id-0");
      List<JsonNode> found = new ArrayList<>();
      for (JsonNode line : parse(captured.lines())) {
        if (line.path("event").asText().equals("stream origin")) {
          found.add(line);
        }
      }
      assertEquals(found.size(), 1);
      assertEquals(found.get(0).path("resumes").asText(), "id-0");
      assertEquals(found.get(0).path("source").asText(), "UNKNOWN");
      assertTrue(found.get(0).has("searchMs"));
    }
  }

  /** Retries of a caller have different ids, but the log lines show that they are one request. */
  @Test
  public void anAttemptInDoubtIsLoggedWithTheRequestsDigest() throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
      ServingFixture world = new ServingFixture();
      for (String path : List.of("/never/x", "/never/x", "/never/y")) {
        world.serve(path);
        world.transport.last().listener.outcomeUnknown("reset");
      }
      List<String> digests = new ArrayList<>();
      for (JsonNode line : parse(captured.lines())) {
        if (line.path("event").asText().equals("try failed")) {
          digests.add(line.path("digest").asText());
        }
      }
      assertEquals(digests.get(0).length(), 32);
      assertEquals(digests.get(1), digests.get(0));
      assertTrue(!digests.get(2).equals(digests.get(0)));
    }
  }

  /**
   * Requests that break off at crashing servers may have only a part of their prompts in common.
   */
  @Test
  public void anAttemptInDoubtIsLoggedWithThePartsOfItsPrompt() throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
      ServingFixture world = new ServingFixture();
      for (String path : List.of("/once/x", "/never/x")) {
        world.serve(path);
        world.transport.last().listener.outcomeUnknown("reset");
      }
      List<String> parts = new ArrayList<>();
      for (JsonNode line : parse(captured.lines())) {
        if (line.path("event").asText().equals("try failed")) {
          parts.add(line.path("promptParts").asText("absent"));
        }
      }
      assertEquals(parts, List.of("a,own", ""));
    }
  }

  /** A notice of a server is logged once, and again when it changes. */
  @Test
  public void statementsOfServersAreLoggedOnChange() throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
      ServingFixture world = new ServingFixture();
      for (double perSecond : new double[] {1.5, 1.5, 2}) {
        world.serve("/never/x");
        ServerNotice notice = new ServerNotice(OptionalDouble.of(perSecond), false, true, 0);
        world.transport.last().listener.noticeReceived(notice);
        world.transport.last().answer(200, "hello");
      }
      List<JsonNode> lines = parse(captured.lines());
      assertEquals(find(lines, "server says: limited").path("limitPerSecond").asDouble(), 1.5);
      int servers =
          (int) world.transport.sends.stream().map(s -> s.call.serverId()).distinct().count();
      assertEquals(count(lines, "server says: leaving"), servers);
    }
  }

  /** A server whose notice differs in each response does not flood the log. */
  @Test
  public void statementsOfServersAreRateLimited() throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
      ServingFixture world = new ServingFixture();
      for (int i = 0; i < FLOOD; i++) {
        ServerNotice notice =
            new ServerNotice(
                OptionalDouble.of(1_000 + i), false, false, 0, OptionalDouble.empty(), true);
        world.serving.notices().apply(world.book.find("p1"), notice, world.loop.millis());
      }
      List<JsonNode> lines = parse(captured.lines());
      int unreadable = count(lines, "server says: what cannot be read");
      assertEquals(unreadable, 1);
      int logged = unreadable + count(lines, "server says: limited");
      assertEquals(logged, RateLimitedDecisionLog.MAX_NOTICES_PER_SECOND);
    }
  }

  /**
   * Log lines explain a request that ran on weights older than published: which version this VM
   * knew, since when, and how it learned of it.
   */
  @Test
  public void theAgeOfPublishedWeightsIsLogged() throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
      ServingFixture world = new ServingFixture();
      long learnedMs = world.loop.millis();
      world.state.addPublishedWeights(
          ServingFixture.MODEL, 2, 7, learnedMs - 3_000, UpdateSource.LIST);
      world.loop.advance(500);
      world.serve("/once/x");
      List<JsonNode> lines = parse(captured.lines());
      JsonNode published = find(lines, "weights named");
      assertEquals(published.path("heardBy").asText(), "LIST");
      assertEquals(published.path("agoMs").asLong(), 3_000);
      JsonNode routed = find(lines, "routed");
      assertEquals(routed.path("weights").asLong(), 1);
      assertEquals(routed.path("newestWeights").asLong(), 2);
      assertEquals(routed.path("newestForMs").asLong(), 3_500);
    }
  }

  private static JsonNode find(List<JsonNode> lines, String event) {
    for (JsonNode line : lines) {
      if (line.path("event").asText().equals(event)) {
        return line;
      }
    }
    throw new AssertionError("no log line with event " + event);
  }

  /** Under a flood of requests, successes are only counted and failures are logged completely. */
  @Test
  public void successesAreRateLimitedAndFailuresAreNot() throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
      ServingFixture world = new ServingFixture();
      for (int i = 0; i < FLOOD; i++) {
        world.serve("/never/x");
        world.transport.last().answer(200, "hello");
      }
      world.serve("/never/x");
      world.loop.advance(300);
      world.transport.last().listener.outcomeUnknown("reset");
      world.loop.advance(700);
      world.serve("/never/x");
      List<JsonNode> lines = parse(captured.lines());
      assertEquals(count(lines, "routed"), RateLimitedDecisionLog.MAX_REQUESTS_PER_SECOND + 2);
      assertEquals(count(lines, "answered"), RateLimitedDecisionLog.MAX_REQUESTS_PER_SECOND);
      assertEquals(count(lines, "refused"), 1);
      JsonNode suppressed = lines.get(lines.size() - 2);
      assertEquals(suppressed.path("event").asText(), "successes left out");
      assertEquals(
          suppressed.path("requests").asInt(),
          FLOOD - RateLimitedDecisionLog.MAX_REQUESTS_PER_SECOND);
      JsonNode routed = lines.get(lines.size() - 5);
      assertEquals(routed.path("event").asText(), "routed");
      assertEquals(
          routed.path("ageMs").asInt(),
          0,
          "ageMs is the age at the decision, not when the line is written");
    }
  }
}
