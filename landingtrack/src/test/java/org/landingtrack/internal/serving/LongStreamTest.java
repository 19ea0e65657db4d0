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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.landingtrack.internal.serving.Route.RetryMode;
import org.landingtrack.internal.streams.ServiceVersions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests streams that run for longer than the origins of streams are remembered. */
public final class LongStreamTest {
  private static final long LONG_MS = ServiceVersions.RETENTION_MS + 10_000;
  private static final long LONGEST_MS = 2 * ServiceVersions.RETENTION_MS + 10_000;
  private static final long STEP_MS = 1_000;
  private static final long TAKE_UP_INTERVAL_MS = 20_000;

  private ServingFixture fixture;

  @BeforeMethod
  public void setUp() {
    fixture = new ServingFixture();
    fixture.book.versions().assumeNoEarlierStreams();
    ServingConfig before = ServingFixture.config(2, "plain");
    List<Route> routes = new ArrayList<>();
    routes.add(
        new Route(
            "long",
            "host",
            "/long/",
            RetryMode.RESUME,
            true,
            List.of(new Route.Target("engines", 1)),
            1,
            2 * LONGEST_MS,
            300,
            1,
            true,
            300));
    fixture.state.configure(
        new ServingConfig(
            2,
            routes,
            Map.of("engines", before.service("engines")),
            ApiKeys.NOT_REQUIRED,
            CallerLimits.DEFAULT,
            List.of()),
        2);
  }

  private static ServerEntry engine(String id, String softwareVersion) {
    return new ServerEntry(
        id,
        "engines",
        "10.0.0.1:" + (80 + id.charAt(1)),
        "dc-1",
        8,
        false,
        0,
        Map.of(ServingFixture.MODEL, 1L),
        0,
        softwareVersion);
  }

  private void list(ServerEntry... engines) {
    fixture.book.replaceAll(List.of(engines), 2);
  }

  private String beginStream() {
    fixture.serving.serve(fixture.request("/long/x", null, 2 * LONGEST_MS), new RecordingSink());
    fixture.transport.last().startStream();
    return fixture.transport.last().call.serverId();
  }

  private void runStream(long durationMs) {
    FakeTransport.Sent stream = fixture.transport.last();
    for (int i = 1; i <= durationMs / STEP_MS; i++) {
      fixture.loop.advance(STEP_MS);
      fixture.book.refreshVersions();
      stream.event(Integer.toString(i));
    }
    stream.listener.outcomeUnknown("reset");
  }

  private RecordingSink resume(long durationMs) {
    String last = Long.toString(durationMs / STEP_MS);
    RecordingSink sink = fixture.serveResumed("/long/x", last, "id-1");
    fixture.loop.advance(1);
    return sink;
  }

  @Test
  public void longStreamOfAMixedServiceIsResumedAtItsSoftwareVersion() {
    list(engine("e1", "v1"), engine("e2", "v2"));
    String began = beginStream();
    runStream(LONG_MS);
    assertEquals(resume(LONG_MS).log.toString(), "");
    assertEquals(fixture.transport.last().call.serverId(), began);
  }

  @Test
  public void streamTakenUpSeveralTimesIsResumedAtItsSoftwareVersion() {
    list(engine("e1", "v1"), engine("e2", "v2"));
    String began = beginStream();
    fixture.transport.last().event("1");
    for (int i = 1; i <= LONGEST_MS / TAKE_UP_INTERVAL_MS; i++) {
      fixture.loop.advance(TAKE_UP_INTERVAL_MS);
      fixture.book.refreshVersions();
      fixture.transport.last().listener.outcomeUnknown("reset");
      assertEquals(fixture.serveResumed("/long/x", "1", "id-1").log.toString(), "");
      assertEquals(fixture.transport.last().call.serverId(), began);
      fixture.transport.last().startStream();
    }
    assertEquals(fixture.transport.sends.size(), 1 + (int) (LONGEST_MS / TAKE_UP_INTERVAL_MS));
  }

  @Test
  public void longStreamAtAServerThatLeftTheListIsNotJoinedWithTheNextSoftwareVersion() {
    list(engine("e1", "v1"));
    beginStream();
    list(engine("e2", "v2"));
    runStream(LONGEST_MS);
    assertEquals(resume(LONGEST_MS).log.toString(), "refused STREAM_NOT_RESUMABLE");
    assertEquals(fixture.transport.sends.size(), 1);
  }
}
