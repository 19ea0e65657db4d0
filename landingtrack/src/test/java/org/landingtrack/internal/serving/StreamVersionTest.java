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
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.landingtrack.internal.streams.ServiceVersions;
import org.landingtrack.internal.streams.StreamKey;
import org.landingtrack.internal.streams.StreamOrigin;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests at which servers a VM continues a stream that it began. */
public final class StreamVersionTest {
  private ServingFixture fixture = new ServingFixture();

  @BeforeMethod
  public void newFixture() {
    fixture = new ServingFixture();
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

  private String beginStream(RecordingSink sink) {
    fixture.serving.serve(fixture.request("/chat/x", ServingFixture.KEY), sink);
    fixture.transport.last().startStream();
    fixture.transport.last().event("1");
    return fixture.transport.last().call.serverId();
  }

  private void list(ServerEntry... engines) {
    fixture.book.replaceAll(List.of(engines), 2);
  }

  /** The software versions of four servers. */
  @DataProvider
  public Object[][] versionsOfTwoServers() {
    return new Object[][] {{"v1", "v2", "v1", "v2"}, {"v2", "v1", "v2", "v1"}};
  }

  @Test(dataProvider = "versionsOfTwoServers")
  public void streamWhoseServerBreaksGoesOnAtItsSoftwareVersion(
      String first, String second, String third, String fourth) {
    List<ServerEntry> engines =
        List.of(
            engine("e1", first), engine("e2", second), engine("e3", third), engine("e4", fourth));
    for (int i = 0; i < engines.size(); i++) {
      newFixture();
      list(engines.toArray(new ServerEntry[0]));
      String began = beginStream(new RecordingSink());
      fixture.transport.last().listener.outcomeUnknown("reset");
      String continued = fixture.transport.last().call.serverId();
      assertEquals(versionOf(engines, continued), versionOf(engines, began));
    }
  }

  private static String versionOf(List<ServerEntry> engines, String id) {
    for (ServerEntry engine : engines) {
      if (engine.id().equals(id)) {
        return engine.softwareVersion();
      }
    }
    throw new AssertionError("no server " + id);
  }

  @Test
  public void streamWithoutAnotherServerOfItsSoftwareVersionIsAborted() {
    list(engine("e1", "v1"), engine("e2", "v2"));
    RecordingSink sink = new RecordingSink();
    beginStream(sink);
    fixture.transport.last().listener.outcomeUnknown("reset");
    assertEquals(fixture.transport.sends.size(), 1);
    assertEquals(sink.log.toString(), "stream 200; event id: 1; abort");
  }

  /** Resumes the stream that {@link #beginStream} began, after its first event. */
  private RecordingSink resume() {
    return resume("id-1");
  }

  private RecordingSink resume(@Nullable String firstRequestId) {
    RecordingSink sink = fixture.serveResumed("/chat/x", "1", firstRequestId);
    fixture.loop.advance(1);
    return sink;
  }

  private CallerRequest withoutPrompt(String id, @Nullable String last, @Nullable String resumes) {
    return new CallerRequest(
        id,
        "POST",
        "host",
        "/chat/x",
        List.of(),
        new byte[0],
        1_000,
        ServingFixture.KEY,
        null,
        last,
        resumes,
        fixture.loop.millis());
  }

  @Test
  public void resumedRequestWithoutAPromptStaysAtItsTargetOfASplitRoute() {
    CallerRequest began = withoutPrompt("id-1", null, null);
    assertEquals(withoutPrompt("id-2", "1", "id-1").splitKey(), began.splitKey());
  }

  @Test
  public void unnamedStreamWithoutAPromptIsNotResumedAtAnyTargetOfASplitRoute() {
    list(engine("e1", "v1"));
    configureChat(2, new Route.Target("engines", 1), new Route.Target("plain", 1));
    fixture.loop.advance(2 * ServiceVersions.RETENTION_MS);
    for (int i = 0; i < 20; i++) {
      RecordingSink sink = new RecordingSink();
      fixture.serving.serve(withoutPrompt("id-" + i, "1", null), sink);
      assertEquals(sink.log.toString(), "refused STREAM_NOT_RESUMABLE");
    }
    assertEquals(fixture.transport.sends.size(), 0);
  }

  /** Replaces the services of the chat route. */
  private void configureChat(long version, Route.Target... targets) {
    ServingConfig before = ServingFixture.config(version, "plain");
    List<Route> routes = new ArrayList<>();
    for (Route route : before.routes()) {
      boolean isChat = route.pathPrefix().equals("/chat/");
      routes.add(isChat ? withTargets(route, List.of(targets)) : route);
    }
    configureRoutes(version, routes);
  }

  private void configureRoutes(long version, List<Route> routes) {
    ServingConfig before = ServingFixture.config(version, "plain");
    fixture.state.configure(
        new ServingConfig(
            version,
            routes,
            Map.of(
                "engines",
                before.service("engines"),
                "engines-2",
                before.service("engines"),
                "plain",
                before.service("plain")),
            ApiKeys.required(Map.of(ServingFixture.KEY, new Team("team-1", false, -1))),
            CallerLimits.DEFAULT,
            List.of()),
        version);
  }

  private static Route withTargets(Route route, List<Route.Target> targets) {
    return new Route(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.retryMode(),
        route.streaming(),
        targets,
        route.priority(),
        route.timeoutMs(),
        route.targetLatencyMs(),
        route.maxAttempts(),
        route.allowsAnonymous(),
        route.maxEventGapMs());
  }

  private static ServerEntry atOtherService(ServerEntry entry) {
    return new ServerEntry(
        entry.id(),
        "engines-2",
        entry.address(),
        entry.dataCentre(),
        entry.slots(),
        false,
        0,
        entry.weightVersions(),
        0,
        entry.softwareVersion());
  }

  @Test
  public void streamIsNotResumedAtTheServiceToWhichItsRouteMoved() {
    list(engine("e1", "v1"), atOtherService(engine("f1", "v1")));
    beginStream(new RecordingSink());
    configureChat(2, new Route.Target("engines-2", 1));
    assertEquals(resume().log.toString(), "refused STREAM_NOT_RESUMABLE");
    assertEquals(fixture.transport.sends.size(), 1);
  }

  @Test
  public void streamIsResumedAtItsServiceAfterItsRouteWasSplit() {
    list(engine("e1", "v1"), atOtherService(engine("f1", "v1")));
    beginStream(new RecordingSink());
    configureChat(2, new Route.Target("engines-2", 1_000_000), new Route.Target("engines", 1));
    resume();
    assertEquals(fixture.transport.sends.size(), 2);
    assertEquals(fixture.transport.last().call.serverId(), "e1");
  }

  /** Another VM has begun the stream, and has ended. */
  @Test
  public void streamBegunElsewhereIsNotResumedWhereItsRouteMovedSinceThen() {
    list(engine("e1", "v1"), atOtherService(engine("f1", "v1")));
    fixture.book.versions().assumeNoEarlierStreams();
    configureChat(2, new Route.Target("engines-2", 1));
    assertEquals(resume().log.toString(), "refused STREAM_NOT_RESUMABLE");
    fixture.loop.advance(ServiceVersions.RETENTION_MS);
    resume();
    assertEquals(fixture.transport.last().call.serverId(), "f1");
  }

  /** Configures the chat route and, for a part of its paths, another one at another service. */
  private void configureChatWithSubroute(long version) {
    ServingConfig before = ServingFixture.config(version, "plain");
    List<Route> routes = new ArrayList<>();
    for (Route route : before.routes()) {
      if (route.pathPrefix().equals("/chat/")) {
        routes.add(withPrefix(route, "/chat/x", "engines-2"));
      }
      routes.add(route);
    }
    configureRoutes(version, routes);
  }

  private static Route withPrefix(Route route, String prefix, String service) {
    return new Route(
        prefix,
        route.host(),
        prefix,
        route.retryMode(),
        route.streaming(),
        List.of(new Route.Target(service, 1)),
        route.priority(),
        route.timeoutMs(),
        route.targetLatencyMs(),
        route.maxAttempts(),
        route.allowsAnonymous(),
        route.maxEventGapMs());
  }

  /** Another VM has begun the stream at the service of the shorter prefix, and has ended. */
  @Test
  public void streamBegunElsewhereIsNotResumedAtTheServiceOfANewRouteWithALongerPrefix() {
    list(engine("e1", "v1"), atOtherService(engine("f1", "v1")));
    fixture.book.versions().assumeNoEarlierStreams();
    configureChat(2, new Route.Target("engines", 1));
    advanceUntilNotMixed();
    configureChatWithSubroute(3);
    assertEquals(resume().log.toString(), "refused STREAM_NOT_RESUMABLE");
    assertEquals(fixture.transport.sends.size(), 0);
  }

  /** Another VM has begun the stream at the service of the longer prefix, and has ended. */
  @Test
  public void streamBegunElsewhereIsNotResumedAtTheServiceOfTheRouteThatIsLeft() {
    list(engine("e1", "v1"), atOtherService(engine("f1", "v1")));
    fixture.book.versions().assumeNoEarlierStreams();
    configureChatWithSubroute(2);
    advanceUntilNotMixed();
    fixture.loop.advance(ServiceVersions.RETENTION_MS);
    fixture.book.refreshVersions();
    configureChat(3, new Route.Target("engines", 1));
    assertEquals(resume().log.toString(), "refused STREAM_NOT_RESUMABLE");
    assertEquals(fixture.transport.sends.size(), 0);
  }

  private static ServerEntry startedAt(ServerEntry entry, long startedMs) {
    return new ServerEntry(
        entry.id(),
        entry.service(),
        entry.address(),
        entry.dataCentre(),
        entry.slots(),
        false,
        0,
        entry.weightVersions(),
        startedMs,
        entry.softwareVersion());
  }

  /** The entry of the later start, which names its version, comes after the server's own report. */
  @Test
  public void streamDoesNotGoOnAtAServerThatStartedAgainWithAnUnknownSoftwareVersion() {
    list(startedAt(engine("e1", "v1"), 10), startedAt(engine("e2", "v1"), 10));
    RecordingSink sink = new RecordingSink();
    String began = beginStream(sink);
    String other = began.equals("e1") ? "e2" : "e1";
    fixture.book.onIncarnationReported(other, 20);
    fixture.transport.last().listener.outcomeUnknown("reset");
    assertEquals(sink.log.toString(), "stream 200; event id: 1; abort");
    fixture.book.put(startedAt(engine(other, "v1"), 20), 3);
    resume();
    assertEquals(fixture.transport.last().call.serverId(), other);
  }

  @Test
  public void streamBegunAtAnUnknownSoftwareVersionDoesNotGoOnAtTheOnlyKnownOne() {
    fixture.book.versions().assumeNoEarlierStreams();
    list(startedAt(engine("e1", "v1"), 10));
    advanceUntilNotMixed();
    fixture.book.onIncarnationReported("e1", 20);
    beginStream(new RecordingSink());
    fixture.book.put(startedAt(engine("e2", "v1"), 10), 3);
    assertEquals(resume().log.toString(), "refused STREAM_NOT_RESUMABLE");
    assertEquals(fixture.transport.sends.size(), 1);
  }

  /** A server that keeps its id over restarts may have started again as another version. */
  @Test
  public void streamDoesNotGoOnAtAServerThatHasJustLostItsConnections() {
    list(startedAt(engine("e1", "v1"), 10));
    beginStream(new RecordingSink());
    fixture.transport.last().listener.outcomeUnknown("reset");
    assertEquals(resume().log.toString(), "refused STREAM_NOT_RESUMABLE");
    assertEquals(fixture.transport.sends.size(), 1);
    fixture.loop.advance(Backend.RESTART_DETECTION_MS);
    resume();
    assertEquals(fixture.transport.last().call.serverId(), "e1");
  }

  /** A server without a start time has another id after a restart, which calls name. */
  @Test
  public void streamGoesOnAtItsServerThatLostAConnection() {
    list(engine("e1", "v1"));
    beginStream(new RecordingSink());
    fixture.transport.last().listener.outcomeUnknown("reset");
    resume();
    assertEquals(fixture.transport.sends.size(), 2);
  }

  private void advanceUntilNotMixed() {
    while (fixture.book.versions().isMixed("engines")) {
      fixture.loop.advance(1_000);
      fixture.book.refreshVersions();
    }
  }

  /** Lets the VM save up retries. */
  private void serveRequests(int count) {
    for (int i = 0; i < count; i++) {
      fixture.serve("/chat/x");
      fixture.transport.last().startStream();
      fixture.transport.last().listener.completed(new byte[0]);
    }
  }

  @Test
  public void resumedStreamIsNotLostWhileTheServersOfItsVersionAreFull() {
    list(engine("e1", "v1"), engine("e2", "v1"), engine("e3", "v2"));
    serveRequests(30);
    while (!beginStream(new RecordingSink()).equals("e1")) {
      fixture.transport.last().listener.completed(new byte[0]);
    }
    RecordingSink sink = resume();
    for (int i = 0; i < 2; i++) {
      fixture.transport.last().listener.notRun(NotRunReason.FULL, "full");
    }
    assertEquals(sink.log.toString(), "");
    int before = fixture.transport.sends.size();
    fixture.loop.advance(300);
    assertEquals(fixture.transport.sends.size(), before + 1);
    assertNotEquals(fixture.transport.last().call.serverId(), "e3");
    fixture.transport.last().startStream();
    fixture.transport.last().listener.completed(new byte[0]);
    assertEquals(sink.log.toString(), "stream 200; end");
  }

  /** Requests to full servers count against the retry budget. */
  @Test
  public void resumedStreamIsSentToFullServersAFewTimesOnly() {
    list(engine("e1", "v1"));
    serveRequests(30);
    beginStream(new RecordingSink());
    int before = fixture.transport.sends.size();
    RecordingSink sink = resume();
    for (int i = 0; i < 10 && sink.log.toString().isEmpty(); i++) {
      fixture.transport.last().listener.notRun(NotRunReason.FULL, "full");
      fixture.loop.advance(300);
    }
    assertEquals(sink.log.toString(), "refused NO_BACKEND_SERVER");
    int sends = fixture.transport.sends.size() - before;
    assertTrue(sends <= 1 + AttemptHistory.MAX_REJECTIONS, "sends " + sends);
  }

  @Test
  public void resumedStreamGoesOnWhileNewStreamsWaitForMemory() {
    list(engine("e1", "v1"), engine("e2", "v2"));
    while (!beginStream(new RecordingSink()).equals("e1")) {
      fixture.transport.last().listener.completed(new byte[0]);
    }
    fixture.transport.last().listener.outcomeUnknown("reset");
    int sends = -1;
    while (sends < fixture.transport.sends.size()) {
      sends = fixture.transport.sends.size();
      fixture.serve("/chat/x");
    }
    resume();
    assertEquals(fixture.transport.sends.size(), sends + 1);
    assertEquals(fixture.transport.last().call.serverId(), "e1");
    assertTrue(
        fixture.transport.last().call.priority() < fixture.transport.sends.get(0).call.priority());
  }

  /** All such callers would share one origin. */
  @Test
  public void originsOfStreamsThatCallersDoNotNameAreNotMixedUp() {
    fixture.loop.advance(ServiceVersions.RETENTION_MS + 1);
    list(engine("e1", "v1"));
    fixture.book.versions().assumeNoEarlierStreams();
    resume(null);
    assertEquals(fixture.transport.last().call.serverId(), "e1");
    fixture.transport.last().startStream();
    list(engine("e1", "v1"), engine("e2", "v2"));
    assertEquals(resume(null).log.toString(), "refused STREAM_NOT_RESUMABLE");
    assertEquals(resume("").log.toString(), "refused STREAM_NOT_RESUMABLE");
  }

  /** The version of a continued stream is known from before, whatever happens to its server. */
  @Test
  public void continuedStreamKeepsItsSoftwareVersionWhenItsServerLosesAnotherConnection() {
    list(startedAt(engine("e1", "v1"), 10), startedAt(engine("e2", "v1"), 10));
    fixture
        .state
        .streams()
        .recordStart(StreamKey.of("team-1", "id-1"), new StreamOrigin("engines", "v1"));
    resume();
    FakeTransport.Sent resumed = fixture.transport.last();
    do {
      fixture.serve("/chat/x");
    } while (!fixture.transport.last().call.serverId().equals(resumed.call.serverId()));
    fixture.transport.last().listener.outcomeUnknown("reset");
    resumed.startStream();
    int sends = fixture.transport.sends.size();
    resumed.listener.outcomeUnknown("reset");
    assertEquals(fixture.transport.sends.size(), sends + 1);
    assertNotEquals(fixture.transport.last().call.serverId(), resumed.call.serverId());
  }
}
