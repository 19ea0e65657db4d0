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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.quarantine.Quarantine;
import org.landingtrack.internal.quarantine.QuarantineArchive;
import org.landingtrack.internal.quarantine.SuspectNews;

/**
 * Some VMs before backend servers that end under certain requests, on one clock. VMs are lost,
 * stand still and are cut off from each other; servers end for other reasons as well. Seeded.
 */
final class CrashingFleet {
  private static final int VMS = 5;
  private static final int SERVERS_OF_EACH = 6;
  private static final long NEWS_MS = 100;
  private static final double NEWS_LOST = 0.03;

  /** From the begin of a deadly request to the end of its server. */
  private static final long DEADLY_MS = 60;

  private static final long ENTRY_GOES_MS = 2_500;
  private static final long ENTRY_SPREAD_MS = 1_500;
  private static final long BACK_AFTER_MS = 2_000;

  /** After its last trouble a VM counts as in touch again. */
  private static final long IN_TOUCH_MS = 3_000;

  private final ManualLoop loop = new ManualLoop();
  private final Random random;
  private final FakeObjectApi store = new FakeObjectApi();
  private final List<Vm> vms = new ArrayList<>();
  private final Map<String, Server> servers = new HashMap<>();
  private int started;
  private int requests;

  /** For each deadly path what became of it. */
  final Map<String, Culprit> culprits = new HashMap<>();

  /** Servers that ended under each request, whatever they ended of. */
  private final Map<String, Set<String>> endedUnder = new HashMap<>();

  int innocentServed;

  /** Refused although fewer than three servers ended under them. */
  int wronglyQuarantined;

  /** Refused because they shared three servers with others that ended them. */
  int sharedThreeEnds;

  /** A request that ends each server that begins it. */
  static final class Culprit {
    final Set<String> ended = new HashSet<>();
    long thirdEndMs = Long.MAX_VALUE / 2;
    int sentTooLate;
    int refused;
  }

  private static final class Server {
    final ServerEntry entry;
    boolean alive = true;
    final List<FakeTransport.Sent> underWay = new ArrayList<>();

    Server(ServerEntry entry) {
      this.entry = entry;
    }
  }

  private final class Vm {
    ServingWorld world = new ServingWorld(loop);
    int seen;
    int probed;
    long hearsAgainMs;
    long inTouchMs;
    final List<Runnable> waiting = new ArrayList<>();

    /** All that it knew is lost; it reads the store. */
    void start() {
      world = new ServingWorld(loop);
      seen = 0;
      probed = 0;
      hearsAgainMs = 0;
      inTouchMs = loop.millis() + IN_TOUCH_MS;
      waiting.clear();
      world.book.replaceAll(listed(), 1);
      new QuarantineArchive(
              store,
              world.state.quarantine(),
              Runnable::run,
              Runnable::run,
              loop::schedule,
              loop::millis,
              new Random(random.nextLong()))
          .start();
    }
  }

  CrashingFleet(long seed) {
    random = new Random(seed);
    for (int i = 0; i < SERVERS_OF_EACH; i++) {
      startServer("plain");
      startServer("engines");
    }
    for (int i = 0; i < VMS; i++) {
      Vm vm = new Vm();
      vms.add(vm);
      vm.start();
      vm.inTouchMs = 0;
    }
    loop.schedule(NEWS_MS, this::tellAll);
  }

  /** Lets time pass; what was sent meanwhile reaches its servers at once. */
  void run(long ms) {
    for (long left = ms; left > 0; left -= 5) {
      loop.advance(5);
      vms.forEach(this::deliver);
    }
  }

  private List<ServerEntry> listed() {
    List<ServerEntry> entries = new ArrayList<>();
    servers.values().forEach(server -> entries.add(server.entry));
    return entries;
  }

  private void startServer(String service) {
    String id = service.charAt(0) + "-" + started++;
    ServerEntry like =
        service.equals("plain") ? ServingWorld.plain(id, "dc-1") : ServingWorld.engine(id, 1);
    ServerEntry entry =
        new ServerEntry(
            id, service, "10.1.0." + started + ":80", "dc-1", 8, false, 0, like.weightVersions());
    servers.put(id, new Server(entry));
    vms.forEach(vm -> vm.world.book.put(entry, started));
  }

  /** Sends a request as its caller does: with a new id, to any VM that does not stand still. */
  void send(String path, boolean again) {
    Vm vm = vms.get(random.nextInt(VMS));
    Runnable serve = () -> serve(vm, path, again);
    if (loop.millis() < vm.hearsAgainMs && random.nextBoolean()) {
      vm.waiting.add(serve);
    } else {
      serve.run();
    }
  }

  private void serve(Vm vm, String path, boolean again) {
    requests++;
    CallerRequest like = vm.world.request(path, ServingWorld.KEY);
    CallerRequest request =
        new CallerRequest(
            "r" + requests,
            like.method(),
            like.host(),
            like.target(),
            like.headers(),
            like.body(),
            like.deadlineMs(),
            like.key(),
            like.prompt(),
            null,
            loop.millis());
    vm.world.serving.serve(request, new Caller(path, again));
  }

  /** Counts what an innocent request gets; its caller sends it once more if it was not served. */
  private final class Caller implements CallerSink {
    private final String path;
    private final boolean again;

    Caller(String path, boolean again) {
      this.path = path;
      this.again = again;
    }

    private void noteQuarantined() {
      Culprit culprit = culprits.get(path);
      if (culprit != null) {
        culprit.refused++;
      } else if (endedUnder.getOrDefault(path, Set.of()).size() < Quarantine.MAX_ENDS) {
        wronglyQuarantined++;
      } else {
        sharedThreeEnds++;
      }
    }

    private void failed() {
      if (!culprits.containsKey(path) && !again) {
        loop.schedule(300, () -> send(path, true));
      }
    }

    @Override
    public void answer(int status, List<Header> headers, byte[] body) {
      innocentServed++;
    }

    @Override
    public void refuse(ErrorKind kind, String why, long retryAfterMs) {
      if (kind == ErrorKind.QUARANTINED) {
        noteQuarantined();
      }
      failed();
    }

    @Override
    public void startStream(int status, List<Header> headers) {}

    @Override
    public void event(byte[] bytes) {}

    @Override
    public void endStream() {
      innocentServed++;
    }

    @Override
    public void abort() {
      failed();
    }
  }

  private void deliver(Vm vm) {
    FakeTransport transport = vm.world.transport;
    while (vm.seen < transport.sends.size()) {
      reach(vm, transport.sends.get(vm.seen++));
    }
    while (vm.probed < transport.probes.size()) {
      String address = transport.probed.get(vm.probed);
      boolean listens = false;
      for (Server server : servers.values()) {
        listens |= server.alive && server.entry.address().equals(address);
      }
      transport.probes.get(vm.probed++).accept(!listens);
    }
  }

  private void reach(Vm vm, FakeTransport.Sent sent) {
    Server server = servers.get(sent.call.serverId());
    if (server == null || !server.alive) {
      sent.listener.notRun(BackendTransport.NotRunReason.NO_CONNECTION, "refused");
      return;
    }
    server.underWay.add(sent);
    Culprit culprit = culprits.get(sent.call.request().target());
    if (culprit == null) {
      loop.schedule(100 + random.nextInt(500), () -> answer(server, sent));
      return;
    }
    boolean inTouch = loop.millis() >= vm.inTouchMs;
    if (inTouch && loop.millis() > culprit.thirdEndMs + IN_TOUCH_MS) {
      culprit.sentTooLate++;
    }
    loop.schedule(DEADLY_MS, () -> endUnder(culprit, server, sent));
  }

  private void answer(Server server, FakeTransport.Sent sent) {
    if (!server.underWay.remove(sent) || sent.cancelled) {
      return;
    }
    if (sent.call.request().prompt() == null) {
      sent.answer(200, "hello");
      return;
    }
    sent.startStream();
    sent.event("1");
    sent.listener.ended(new byte[0]);
  }

  private void endUnder(Culprit culprit, Server server, FakeTransport.Sent sent) {
    if (!server.alive || sent.cancelled) {
      return;
    }
    if (sent.call.request().prompt() != null) {
      sent.startStream();
    }
    culprit.ended.add(server.entry.id());
    if (culprit.ended.size() == 3) {
      culprit.thirdEndMs = loop.millis();
    }
    end(server);
  }

  private void end(Server server) {
    server.alive = false;
    List<FakeTransport.Sent> broken = List.copyOf(server.underWay);
    server.underWay.clear();
    for (FakeTransport.Sent sent : broken) {
      if (!sent.cancelled) {
        String path = sent.call.request().target();
        endedUnder.computeIfAbsent(path, each -> new HashSet<>()).add(server.entry.id());
        sent.listener.broken("closed");
      }
    }
    String id = server.entry.id();
    loop.schedule(ENTRY_GOES_MS + random.nextLong(ENTRY_SPREAD_MS), () -> entryGoes(id));
    loop.schedule(BACK_AFTER_MS, () -> startServer(server.entry.service()));
  }

  private void entryGoes(String id) {
    servers.remove(id);
    vms.forEach(vm -> vm.world.book.remove(id, started));
  }

  /** A server ends by itself. */
  void endOne() {
    List<Server> alive = new ArrayList<>();
    servers.values().stream()
        .filter(server -> server.alive)
        .sorted((a, b) -> a.entry.id().compareTo(b.entry.id()))
        .forEach(alive::add);
    if (!alive.isEmpty()) {
      end(alive.get(random.nextInt(alive.size())));
    }
  }

  void loseOneVm() {
    vms.get(random.nextInt(VMS)).start();
  }

  void loseAllVms() {
    vms.forEach(Vm::start);
  }

  /**
   * A VM hears nothing for a while; some requests lie in its sockets and are served as it wakes.
   */
  void standStill(long ms) {
    Vm vm = vms.get(random.nextInt(VMS));
    vm.hearsAgainMs = loop.millis() + ms;
    vm.inTouchMs = vm.hearsAgainMs + IN_TOUCH_MS;
    loop.schedule(
        ms,
        () -> {
          List<Runnable> waiting = List.copyOf(vm.waiting);
          vm.waiting.clear();
          waiting.forEach(Runnable::run);
        });
  }

  private void tellAll() {
    loop.schedule(NEWS_MS, this::tellAll);
    for (Vm vm : vms) {
      vm.world.state.quarantine().nextRound();
      List<SuspectNews> news = vm.world.state.quarantine().news();
      for (Vm other : vms) {
        boolean hears = loop.millis() >= Math.max(other.hearsAgainMs, vm.hearsAgainMs);
        if (other != vm && hears && random.nextDouble() >= NEWS_LOST) {
          other.world.state.quarantine().heard(news);
        }
      }
    }
  }

  /** Names a request that ends each server that begins it. */
  void deadly(String path) {
    culprits.put(path, new Culprit());
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  int pick(int bound) {
    return random.nextInt(bound);
  }
}
