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

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.GossipMessage;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.streams.MixedServiceReport;

/**
 * VMs that lose power and start again, servers of several software versions, and the store that
 * lists the servers. Each event of a stream names the version that wrote it.
 */
final class RestartingFleet {
  static final String SERVICE = "s";
  static final int EVENTS_BEFORE_BREAK = 2;
  static final int EVENTS_PER_STREAM = 4;
  private static final long LINK_MS = 2;
  private static final long GOSSIP_ROUND_MS = 100;
  private static final long STORE_POLL_MS = 50;
  private static final long STORE_TIMEOUT_MS = 1_000;
  private static final long REFRESH_MS = 1_000;
  private static final long REMOVED_SERVER_RETENTION_MS = 30_000;
  private static final double LOST_SHARE = 0.02;

  final ManualEventLoop loop = new ManualEventLoop();
  private final Random random;

  /** The VMs by address; null while a VM has no power. */
  private final Map<String, @Nullable Vm> vms = new TreeMap<>();

  /** The running servers' versions by id. */
  private final Map<String, String> running = new HashMap<>();

  private final Map<String, ServerEntry> listed = new TreeMap<>();

  /** The lists of the store with the times of the changes, the last one at the end. */
  private final List<StoreList> lists = new ArrayList<>();

  private record StoreList(long atMs, Map<String, ServerEntry> entries) {}

  /** The process of a VM, from its start to its end. */
  final class Vm implements BackendTransport {
    final String address;
    final PausableEventLoop vmLoop = new PausableEventLoop(loop, random);
    final ServerRegistry registry = new ServerRegistry(vmLoop, new NoOpDecisionLog(), 1_400, 2_500);
    final PeerLoads peers;
    final ServingState state;
    private final Serving serving;

    /** How long after a change the store's answer arrives. */
    long storeDelayMs;

    /** Before this time the store answers nothing. */
    long storeAwayUntilMs;

    /** The VM exchanges messages only with VMs of the same number. */
    int partition;

    private long storeAnsweredAtMs = loop.millis();
    private long pausedUntilMs = Long.MIN_VALUE / 2;

    /** The index of the last list that was applied; -1 before the first one. */
    private int applied = -1;

    private boolean isWatchBroken;

    Vm(String address, boolean isFirstStart) {
      this.address = address;
      peers = new PeerLoads(vmLoop, new GossipMessage.Vm(address, "dc-1", 0));
      state = new ServingState(vmLoop, registry, peers, new NoOpDecisionLog(), 3);
      serving =
          new Serving(
              vmLoop,
              state,
              this,
              new NoOpDecisionLog(),
              new ServingOptions(
                  "dc-1", 20, 8_000, Map.of(), 1, 0, random.nextLong(), null, Set.of()));
      state.configure(config(), 1);
      state.weightsListed();
      if (isFirstStart) {
        registry.versions().assumeNoEarlierStreams();
      }
    }

    boolean isRunning() {
      return vms.get(address) == this;
    }

    boolean isReady() {
      return state.ready();
    }

    /** Reads the store's list on demand, and records its versions. */
    private void confirm(Consumer<Boolean> listener) {
      if (loop.millis() < storeAwayUntilMs || applied < 0) {
        loop.schedule(STORE_TIMEOUT_MS, () -> vmLoop.deliver(() -> listener.accept(false)));
        return;
      }
      int position = applied;
      loop.schedule(
          LINK_MS,
          () -> {
            int index = lists.size() - 1;
            loop.schedule(
                LINK_MS, () -> vmLoop.deliver(() -> onConfirmed(position, index, listener)));
          });
    }

    private void onConfirmed(int position, int index, Consumer<Boolean> listener) {
      noteUnknownRemovals(position, index);
      registry.recordVersions(lists.get(index).entries.values());
      listener.accept(true);
    }

    private void noteUnknownRemovals(int position, int index) {
      for (String id : removedSince(position, index)) {
        if (!registry.knows(id)) {
          registry.versions().restartHistory();
        }
      }
    }

    private void start() {
      state.streams().start(this::sendDatagram, this::confirm);
      repeat(GOSSIP_ROUND_MS, this::gossip);
      repeat(STORE_POLL_MS, this::readStore);
      repeat(
          REFRESH_MS,
          () -> {
            registry.refreshVersions();
            registry.evictRemoved(REMOVED_SERVER_RETENTION_MS);
          });
    }

    private void repeat(long intervalMs, Runnable task) {
      if (isRunning()) {
        task.run();
        vmLoop.schedule(intervalMs, () -> repeat(intervalMs, task));
      }
    }

    private void sendDatagram(String receiver, byte[] bytes) {
      if (!isRunning() || random.nextDouble() < LOST_SHARE) {
        return;
      }
      loop.schedule(
          LINK_MS,
          () -> {
            Vm vm = vms.get(receiver);
            if (vm != null && vm.partition == partition) {
              vm.vmLoop.deliverDatagram(() -> vm.receive(bytes));
            }
          });
    }

    private void receive(byte[] bytes) {
      try {
        state.streams().decode(bytes, bytes.length).run();
      } catch (IOException e) {
        throw new IllegalStateException("a VM sent an invalid message", e);
      }
    }

    private void gossip() {
      GossipMessage message =
          new GossipMessage(
              new GossipMessage.Vm(address, "dc-1", 0),
              loop.millis(),
              Kind.OWN,
              List.of(),
              List.of(),
              List.of());
      List<MixedServiceReport> reports = registry.versions().reportsToSend();
      for (Vm vm : running()) {
        if (vm != this && vm.partition == partition && random.nextDouble() >= LOST_SHARE) {
          vm.vmLoop.deliverDatagram(() -> vm.receive(message, reports));
        }
      }
      peers.nextRound();
    }

    private void receive(GossipMessage message, List<MixedServiceReport> reports) {
      peers.receive(message);
      registry.versions().receiveReports(reports);
    }

    private void readStore() {
      int index = newestList();
      if (index >= 0) {
        apply(index);
      }
    }

    /** Returns the index of the list that the store answers with, or -1 if it does not answer. */
    private int newestList() {
      if (loop.millis() < storeAwayUntilMs) {
        isWatchBroken = true;
        return -1;
      }
      int index = lists.size() - 1;
      while (index >= 0 && lists.get(index).atMs > loop.millis() - storeDelayMs) {
        index--;
      }
      return index;
    }

    /** Applies an answer of the store: the changes, or after a broken watch the whole list. */
    private void apply(int index) {
      storeAnsweredAtMs = loop.millis();
      if (applied < 0 || isWatchBroken) {
        StoreList list = lists.get(Math.max(applied, index));
        if (applied >= 0) {
          noteUnknownRemovals(applied, Math.max(applied, index));
        }
        registry.replaceAll(list.entries.values(), list.atMs);
        if (isWatchBroken) {
          registry.onStoreRecovered();
        }
        isWatchBroken = false;
        applied = Math.max(applied, index);
      }
      if (applied < index) {
        applyChanges(applied, index);
        applied = index;
      }
    }

    /** Lets the VM stand still; an answer to its watch of the store arrives meanwhile. */
    void pause(long ms) {
      vmLoop.pause();
      pausedUntilMs = loop.millis() + ms;
      loop.schedule(
          (long) (random.nextDouble() * ms),
          () -> {
            int index = newestList();
            if (index >= 0) {
              vmLoop.deliver(() -> apply(index));
            }
          });
      loop.schedule(ms, vmLoop::resume);
    }

    /** Returns true if the VM has been running for some time. */
    boolean hasRunFor(long ms) {
      return loop.millis() - pausedUntilMs >= ms;
    }

    /** Returns true if the store answered within some time. */
    boolean hasReadStoreWithin(long ms) {
      return loop.millis() - storeAnsweredAtMs <= ms;
    }

    /** Applies the last change of each entry, as a watch reports them. */
    private void applyChanges(int position, int index) {
      StoreList current = lists.get(index);
      current.entries.forEach(
          (id, entry) -> {
            if (!entry.equals(lists.get(position).entries.get(id))) {
              registry.put(entry, current.atMs);
            }
          });
      noteUnknownRemovals(position, index);
      removedSince(position, index).forEach(id -> registry.remove(id, current.atMs));
    }

    /** Sends a request that begins a stream, or takes it up again after its last event. */
    void serve(String requestId, ReceivedStream stream, @Nullable String resumes) {
      stream.log.append(" | ").append(loop.millis()).append(" at ").append(address).append(':');
      vmLoop.deliver(() -> serving.serve(request(requestId, stream, resumes), stream));
    }

    /** Returns a request whose body differs from those of other streams. */
    private CallerRequest request(
        String requestId, ReceivedStream stream, @Nullable String resumes) {
      String last = stream.lastEvent == 0 ? null : Integer.toString(stream.lastEvent);
      return new CallerRequest(
          requestId,
          "POST",
          "host",
          "/stream/",
          List.of(),
          stream.firstRequestId.getBytes(StandardCharsets.US_ASCII),
          5_000,
          null,
          null,
          last,
          resumes,
          loop.millis());
    }

    @Override
    public Exchange send(BackendCall call, Listener listener) {
      boolean[] isCancelled = {false};
      loop.schedule(LINK_MS, () -> run(call, listener, isCancelled));
      return () -> {
        isCancelled[0] = true;
        return true;
      };
    }

    private void run(BackendCall call, Listener listener, boolean[] isCancelled) {
      if (isCancelled[0] || !isRunning()) {
        return;
      }
      String version = running.get(call.serverId());
      vmLoop.deliver(() -> answer(version, call, listener, isCancelled));
    }

    private void answer(
        @Nullable String version, BackendCall call, Listener listener, boolean[] isCancelled) {
      if (isCancelled[0]) {
        return;
      }
      if (version == null) {
        listener.notRun(NotRunReason.NO_CONNECTION, "connection refused");
        return;
      }
      listener.head(new ResponseHead(200, List.of(), true, OptionalLong.empty()));
      String last = call.resumeAfter();
      int next = last == null ? 1 : Integer.parseInt(last) + 1;
      int end = last == null ? EVENTS_BEFORE_BREAK : EVENTS_PER_STREAM;
      for (int i = next; i <= end && !isCancelled[0]; i++) {
        String event = "id: " + i + "\ndata: " + version + "\n\n";
        listener.event(
            new StreamEvent(Integer.toString(i), event.getBytes(StandardCharsets.US_ASCII)));
      }
      if (isCancelled[0]) {
        return;
      }
      if (end == EVENTS_PER_STREAM) {
        listener.completed(new byte[0]);
      } else if (random.nextInt(10) == 0) {
        listener.outcomeUnknown("the connection closed before the answer was whole");
      }
    }

    @Override
    public void probe(String serverId, String serverAddress, Consumer<Boolean> refused) {
      refused.accept(!running.containsKey(serverId));
    }

    @Override
    public void dropConnections(String serverId) {}
  }

  RestartingFleet(int count, long seed) {
    random = new Random(seed);
    for (int i = 1; i <= count; i++) {
      vms.put("10.0.0." + i + ":70", null);
    }
  }

  private static ServingConfig config() {
    Route route =
        new Route(
            "stream",
            "host",
            "/stream/",
            Route.RetryMode.RESUME,
            true,
            List.of(new Route.Target(SERVICE, 1)),
            1,
            12_000,
            300,
            2,
            true,
            300);
    return new ServingConfig(
        1,
        List.of(route),
        Map.of(SERVICE, new ServiceInfo(SERVICE, "/health", 500, null)),
        ApiKeys.NOT_REQUIRED,
        CallerLimits.DEFAULT,
        List.of());
  }

  /** Returns the addresses of all VMs. */
  List<String> addresses() {
    return List.copyOf(vms.keySet());
  }

  /** Returns the VMs that have power. */
  List<Vm> running() {
    List<Vm> found = new ArrayList<>();
    vms.values()
        .forEach(
            vm -> {
              if (vm != null) {
                found.add(vm);
              }
            });
    return found;
  }

  /** Starts a VM that has no power. */
  Vm start(String address, boolean isFirstStart, Consumer<Vm> setting) {
    Vm vm = new Vm(address, isFirstStart);
    setting.accept(vm);
    vms.put(address, vm);
    vm.start();
    return vm;
  }

  /** Ends a VM's process without notice. */
  void kill(String address) {
    vms.put(address, null);
  }

  /** Starts a server of a software version, also under the id of an earlier one, and lists it. */
  void startServer(String id, String version) {
    running.put(id, version);
    list(entry(id, version, false));
  }

  private static ServerEntry entry(String id, String version, boolean isLeaving) {
    return new ServerEntry(
        id, SERVICE, id + ".servers:80", "dc-1", 500, isLeaving, 0, Map.of(), 0, version);
  }

  /** Lists a server as leaving, while it serves on. */
  void announceLeaving(String id) {
    ServerEntry entry = listed.get(id);
    if (entry != null) {
      list(entry(id, String.valueOf(entry.softwareVersion()), true));
    }
  }

  /** Removes a server's entry, while it serves on. */
  void unlist(String id) {
    listed.remove(id);
    lists.add(new StoreList(loop.millis(), Collections.unmodifiableMap(new TreeMap<>(listed))));
  }

  /** Returns true if a server of a version runs and is listed. */
  boolean serves(String version) {
    return listed.values().stream()
        .anyMatch(
            each ->
                version.equals(each.softwareVersion())
                    && !each.leaving()
                    && running.containsKey(each.id()));
  }

  /** Ends a server; its entry stays. */
  void endServer(String id) {
    running.remove(id);
  }

  /** Returns the entries that were listed since a list and are no longer. */
  private Set<String> removedSince(int position, int index) {
    Set<String> removed = new TreeSet<>();
    for (int i = position; i < index; i++) {
      removed.addAll(lists.get(i).entries.keySet());
    }
    removed.removeAll(lists.get(index).entries.keySet());
    return removed;
  }

  private void list(ServerEntry entry) {
    listed.put(entry.id(), entry);
    lists.add(new StoreList(loop.millis(), Collections.unmodifiableMap(new TreeMap<>(listed))));
  }
}
