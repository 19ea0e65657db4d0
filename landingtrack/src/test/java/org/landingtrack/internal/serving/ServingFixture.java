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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.Route.RetryMode;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * A VM that serves requests, with a fake transport, two engines, three plain servers and two teams.
 */
final class ServingFixture {
  static final String MODEL = "m";
  static final String KEY = "key-1";
  static final String ISOLATED_KEY = "key-2";
  static final PartStore.StoreInfo STORE =
      new PartStore.StoreInfo("parts", "10.0.0.9:80", "dc-1", 100_000, 100_000, 0);

  final ManualEventLoop loop;
  final FakeTransport transport = new FakeTransport();
  final DecisionLog log;
  final ServerRegistry book;
  final PeerLoads peerLoads;
  final ServingState state;
  final Serving serving;

  ServingFixture() {
    this(new ManualEventLoop());
  }

  /** Creates a VM on an event loop that it may share with other VMs. */
  ServingFixture(ManualEventLoop loop) {
    this(loop, new RateLimitedDecisionLog(new StructuredDecisionLog(), loop), "10.0.1.1:70", 0);
  }

  /**
   * Creates one VM of several.
   *
   * @param log receives its decisions
   * @param address where it receives load reports from the other VMs
   * @param salt differs from VM to VM and from start to start
   */
  ServingFixture(ManualEventLoop loop, DecisionLog log, String address, long salt) {
    this(loop, log, address, salt, Set.of());
  }

  /** Creates one VM of several, with some mechanisms off. */
  ServingFixture(
      ManualEventLoop loop, DecisionLog log, String address, long salt, Set<Mechanism> off) {
    this.loop = loop;
    this.log = log;
    this.book = new ServerRegistry(loop, log, 1_400, 2_500);
    this.peerLoads = new PeerLoads(loop, new Vm(address, "dc-1", 0));
    this.state = new ServingState(loop, book, peerLoads, log, 3);
    this.serving =
        new Serving(
            loop,
            state,
            transport,
            log,
            new ServingOptions("dc-1", 20, 8_000, Map.of(), 1, 0, salt, null, off));
    state.configure(config(1, "plain"), 1);
    state.weightsListed();
    book.replaceAll(
        List.of(
            engine("e1", 1),
            engine("e2", 1),
            plain("p1", "dc-1"),
            plain("p2", "dc-1"),
            plain("p3", "dc-2")),
        1);
  }

  static ServerEntry engine(String id, long weights) {
    return new ServerEntry(
        id, "engines", "10.0.0.1:80", "dc-1", 8, false, 0, Map.of(MODEL, weights));
  }

  static ServerEntry plain(String id, String dataCentre) {
    return new ServerEntry(id, "plain", "10.0.0.2:80", dataCentre, 6, false, 0, Map.of());
  }

  static ServerEntry leaving(ServerEntry entry) {
    return new ServerEntry(
        entry.id(),
        entry.service(),
        entry.address(),
        entry.dataCentre(),
        entry.slots(),
        true,
        entry.coldMs(),
        entry.weightVersions(),
        entry.startedMs(),
        entry.softwareVersion());
  }

  static ServingConfig config(long version, String plainService) {
    Team open = new Team("team-1", false, -1);
    Team isolated = new Team("team-2", true, -1);
    return config(version, plainService, Map.of(KEY, open, ISOLATED_KEY, isolated));
  }

  static ServingConfig config(long version, String plainService, Map<String, Team> keys) {
    List<Route> routes = new ArrayList<>();
    routes.add(route("/never/", RetryMode.NEVER, plainService, 1));
    routes.add(route("/safe/", RetryMode.WHOLE, plainService, 2));
    routes.add(route("/chat/", RetryMode.RESUME, "engines", 2));
    routes.add(route("/once/", RetryMode.NEVER, "engines", 1));
    routes.add(route("/unsafe/", RetryMode.NEVER, plainService, 3));
    routes.add(route("/unresumable/", RetryMode.NEVER, "engines", 3));
    return new ServingConfig(
        version,
        routes,
        Map.of(
            "plain",
            new ServiceInfo("plain", "/health", 100, null),
            "other",
            new ServiceInfo("other", "/health", 100, null),
            "engines",
            new ServiceInfo("engines", "/health", 100, new EngineInfo(8, 10_000, 18_432, 100_000))),
        keys.isEmpty() ? ApiKeys.NOT_REQUIRED : ApiKeys.required(keys),
        CallerLimits.DEFAULT,
        List.of(STORE));
  }

  private static Route route(String prefix, RetryMode repeat, String service, int attempts) {
    return new Route(
        prefix,
        "host",
        prefix,
        repeat,
        service.equals("engines"),
        List.of(new Route.Target(service, 1)),
        1,
        1_200,
        300,
        attempts,
        false,
        300);
  }

  CallerRequest request(String path, @Nullable String key) {
    return request(path, key, 5_000);
  }

  CallerRequest request(String path, @Nullable String key, long deadlineMs) {
    Prompt prompt =
        path.startsWith("/chat/") || path.startsWith("/once/") || path.startsWith("/unresumable/")
            ? new Prompt(MODEL, 10, List.of(new Prompt.Part("a", 500), new Prompt.Part("own", 100)))
            : null;
    return new CallerRequest(
        "id-1",
        "POST",
        "host",
        path,
        List.of(),
        new byte[0],
        deadlineMs,
        key,
        prompt,
        null,
        loop.millis());
  }

  /** Returns a request to an engine whose prompt has parts of 100 tokens with these keys. */
  CallerRequest promptRequest(String path, String... partKeys) {
    List<Prompt.Part> parts = new ArrayList<>();
    for (String key : partKeys) {
      parts.add(new Prompt.Part(key, 100));
    }
    return new CallerRequest(
        "id-1",
        "POST",
        "host",
        path,
        List.of(),
        new byte[0],
        5_000,
        KEY,
        new Prompt(MODEL, 10, parts),
        null,
        loop.millis());
  }

  RecordingSink servePrompt(String path, String... partKeys) {
    RecordingSink sink = new RecordingSink();
    serving.serve(promptRequest(path, partKeys), sink);
    return sink;
  }

  /** Publishes a version of the weights, which the VM learns of at once. */
  void nameWeights(long version) {
    state.addPublishedWeights(
        MODEL, version, version, loop.millis(), ServingState.UpdateSource.WATCH);
  }

  RecordingSink serve(String path) {
    return serve(path, KEY);
  }

  RecordingSink serve(String path, @Nullable String key) {
    RecordingSink sink = new RecordingSink();
    serving.serve(request(path, key), sink);
    return sink;
  }

  /**
   * Serves a request that resumes a stream.
   *
   * @param resumes the id of the request that began the stream, or null if it is not named
   */
  RecordingSink serveResumed(String path, String lastEventId, @Nullable String resumes) {
    CallerRequest began = request(path, KEY);
    RecordingSink sink = new RecordingSink();
    serving.serve(
        new CallerRequest(
            "id-2",
            began.method(),
            began.host(),
            began.target(),
            began.headers(),
            began.body(),
            began.deadlineMs(),
            began.key(),
            began.prompt(),
            lastEventId,
            resumes,
            loop.millis()),
        sink);
    return sink;
  }
}
