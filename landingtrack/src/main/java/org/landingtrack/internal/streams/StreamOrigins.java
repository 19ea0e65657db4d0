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
package org.landingtrack.internal.streams;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.EventLoop;
import org.landingtrack.internal.streams.OriginSearchResult.Source;
import org.landingtrack.internal.streams.StreamMessage.Announcement;
import org.landingtrack.internal.streams.StreamMessage.HistoryQuery;
import org.landingtrack.internal.streams.StreamMessage.HistoryReply;
import org.landingtrack.internal.streams.StreamMessage.OriginQuery;
import org.landingtrack.internal.streams.StreamMessage.OriginReply;
import org.landingtrack.internal.streams.StreamOriginTable.KnownStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out at which service and software version a stream began. Each VM remembers the streams
 * that it began. While a service is mixed, it announces them to a few VMs that are chosen by
 * rendezvous hashing of the stream, so that a stream can go on after its VM ended. While a service
 * has one version, that version is the origin of all its streams, and nothing is announced.
 *
 * <p>A VM that has just started takes over the history of another one. Until it has one, it
 * announces its streams as if all services were mixed.
 *
 * <p>What is not known for certain is not assumed: a lost message, a VM without history or a VM
 * without current data makes an origin unknown, but never a wrong one. Used on the event loop only.
 */
public final class StreamOrigins {
  /** VMs to which a stream is announced. */
  static final int REPLICAS = 3;

  /** VMs that are asked; more than have it, since views of the fleet and VMs change. */
  static final int MAX_ASKED_VMS = 6;

  /** Time after which VMs that have not replied are asked again. */
  static final long RETRY_MS = 50;

  /** Time after which an origin that no VM replied with is unknown. */
  static final long SEARCH_TIMEOUT_MS = 150;

  /**
   * Time for which a VM that has just started waits until it knows other VMs, which it learns
   * within a few rounds of gossip. Without an answer its caller would have to start over.
   */
  static final long START_TIMEOUT_MS = 1_000;

  /** Bound of concurrent searches; further resumed streams count as unknown. */
  static final int MAX_SEARCHES = 256;

  /** Interval at which a VM without history asks others for theirs. */
  static final long HISTORY_QUERY_INTERVAL_MS = 200;

  /** Time after its first list for which a VM asks for the history of others. */
  static final long HISTORY_QUERY_WINDOW_MS = 10_000;

  private static final Logger log = LoggerFactory.getLogger("streams");

  private final EventLoop loop;
  private final ServiceVersions versions;
  private final PeerLoads peers;
  private final StreamOriginTable table;
  private final Map<StreamKey, Search> searches = new HashMap<>();
  private Sender sender = (vm, bytes) -> {};
  private BooleanSupplier isCurrent = () -> true;
  private boolean isStarted;
  private long historyQueriesEndMs;
  private final Map<Source, Long> results = new EnumMap<>(Source.class);

  /** Sends datagrams to other VMs. Called on the event loop. */
  @FunctionalInterface
  public interface Sender {
    /** Sends a datagram to the address at which a VM receives gossip. */
    void send(String vm, byte[] bytes);
  }

  /** A search for the origin of a stream, for all requests that resume it. */
  private static final class Search {
    private final OriginQuery query;
    private final Set<String> unanswered;
    private final List<Consumer<OriginSearchResult>> listeners = new ArrayList<>();
    private final long startedAtMs;

    Search(OriginQuery query, List<String> vms, long startedAtMs) {
      this.query = query;
      this.unanswered = new HashSet<>(vms);
      this.startedAtMs = startedAtMs;
    }
  }

  /**
   * Creates the directory of a VM that has begun no stream. It sends nothing before {@link #start}.
   *
   * @param peers the other VMs
   */
  public StreamOrigins(EventLoop loop, ServiceVersions versions, PeerLoads peers) {
    this.loop = loop;
    this.versions = versions;
    this.peers = peers;
    this.table = new StreamOriginTable(loop, ServiceVersions.RETENTION_MS);
    versions.onMixed(this::announceAll);
    versions.onFirstList(this::onFirstList);
  }

  /**
   * Starts to exchange messages. From the first list of servers on, asks other VMs for their
   * history, which a VM that has just started lacks.
   *
   * @param datagramSender sends messages to other VMs
   * @param currentView returns true while this VM would know of another version of a service, so
   *     that a service that seems to have one version has one
   */
  public void start(Sender datagramSender, BooleanSupplier currentView) {
    sender = datagramSender;
    isCurrent = currentView;
    isStarted = true;
    historyQueriesEndMs = loop.millis() + HISTORY_QUERY_WINDOW_MS;
    if (versions.hasListed()) {
      queryHistory();
    }
  }

  private void onFirstList() {
    if (isStarted) {
      historyQueriesEndMs = loop.millis() + HISTORY_QUERY_WINDOW_MS;
      queryHistory();
    }
  }

  private void queryHistory() {
    if (versions.hasHistory() || loop.millis() > historyQueriesEndMs) {
      return;
    }
    send(new HistoryQuery(peers.address()), peers.responsibleVms(loop.millis(), REPLICAS));
    loop.schedule(HISTORY_QUERY_INTERVAL_MS, this::queryHistory);
  }

  private void send(StreamMessage message, List<String> vms) {
    if (vms.isEmpty()) {
      return;
    }
    byte[] bytes = StreamMessageCodec.encode(message);
    vms.forEach(vm -> sender.send(vm, bytes));
  }

  /** Records that a stream began or goes on at this VM. Call this before its events are sent. */
  public void recordStart(StreamKey key, StreamOrigin origin) {
    table.put(key, origin, true);
    if (versions.isMixed(origin.service()) || !versions.hasHistory()) {
      send(
          new Announcement(List.of(new KnownStream(key, origin))),
          peers.responsibleVms(key.hash(), REPLICAS));
    }
  }

  /** Announces all streams of this VM at a service that has become mixed. */
  private void announceAll(String service) {
    Map<String, List<KnownStream>> byVm = new LinkedHashMap<>();
    for (KnownStream stream : table.localStreams(service)) {
      for (String vm : peers.responsibleVms(stream.key().hash(), REPLICAS)) {
        byVm.computeIfAbsent(vm, name -> new ArrayList<>()).add(stream);
      }
    }
    byVm.forEach(
        (vm, streams) -> {
          for (int from = 0; from < streams.size(); from += StreamMessageCodec.MAX_ENTRIES) {
            int to = Math.min(streams.size(), from + StreamMessageCodec.MAX_ENTRIES);
            send(new Announcement(streams.subList(from, to)), List.of(vm));
          }
        });
    log.atInfo()
        .addKeyValue("service", service)
        .addKeyValue("vms", byVm.size())
        .addKeyValue("why", "several software versions, or a route's services changed")
        .log("streams announced to other VMs");
  }

  /**
   * Finds the origin of a stream.
   *
   * @param key the stream, or null if the caller does not name it
   * @param service the service at which the stream would go on without a known origin
   * @param listener receives the result at once or within {@link #SEARCH_TIMEOUT_MS}, and while
   *     this VM knows no other one after its start, within {@link #START_TIMEOUT_MS} more
   */
  public void find(@Nullable StreamKey key, String service, Consumer<OriginSearchResult> listener) {
    StreamOrigin known = key == null ? null : table.find(key);
    StreamOrigin only = known == null ? onlyOrigin(service) : null;
    if (known != null) {
      report(known, Source.KNOWN, "", 0, listener);
    } else if (only != null) {
      report(only, Source.ONLY_VERSION, "", 0, listener);
    } else if (key == null) {
      report(null, Source.UNKNOWN, "", 0, listener);
    } else {
      search(key, service, listener, loop.millis());
    }
  }

  private void report(
      @Nullable StreamOrigin origin,
      Source source,
      String vm,
      long tookMs,
      Consumer<OriginSearchResult> listener) {
    results.merge(source, 1L, Long::sum);
    listener.accept(new OriginSearchResult(origin, source, vm, tookMs));
  }

  /** Asks other VMs, or waits for {@link #START_TIMEOUT_MS} if this VM starts and knows none. */
  private void search(
      StreamKey key, String service, Consumer<OriginSearchResult> listener, long startedAtMs) {
    Search running = searches.get(key);
    if (running != null) {
      running.listeners.add(listener);
      return;
    }
    List<String> vms = peers.responsibleVms(key.hash(), MAX_ASKED_VMS);
    long waitUntilMs = startedAtMs + START_TIMEOUT_MS;
    boolean isStarting = loop.millis() < Math.min(waitUntilMs, historyQueriesEndMs);
    if (vms.isEmpty() && isStarting) {
      loop.schedule(RETRY_MS, () -> search(key, service, listener, startedAtMs));
      return;
    }
    if (vms.isEmpty() || searches.size() >= MAX_SEARCHES) {
      report(null, Source.UNKNOWN, "", loop.millis() - startedAtMs, listener);
      return;
    }
    Search search = new Search(new OriginQuery(peers.address(), key, service), vms, startedAtMs);
    search.listeners.add(listener);
    searches.put(key, search);
    send(search.query, vms);
    loop.schedule(RETRY_MS, () -> askAgain(search));
    loop.schedule(SEARCH_TIMEOUT_MS, () -> end(search, null, ""));
  }

  private void askAgain(Search search) {
    if (searches.get(search.query.key()) == search) {
      send(search.query, List.copyOf(search.unanswered));
    }
  }

  private void end(Search search, @Nullable StreamOrigin origin, String vm) {
    if (!searches.remove(search.query.key(), search)) {
      return;
    }
    Source source = origin == null ? Source.UNKNOWN : Source.OTHER_VM;
    long tookMs = loop.millis() - search.startedAtMs;
    search.listeners.forEach(listener -> report(origin, source, vm, tookMs, listener));
  }

  private @Nullable StreamOrigin findHere(StreamKey key, String service) {
    StreamOrigin origin = table.find(key);
    return origin != null ? origin : onlyOrigin(service);
  }

  private @Nullable StreamOrigin onlyOrigin(String service) {
    String version = versions.onlyVersion(service);
    return version == null || !isCurrent.getAsBoolean() ? null : new StreamOrigin(service, version);
  }

  /** Returns true if a datagram holds a message about streams. */
  public static boolean isStreamMessage(byte[] bytes, int length) {
    return StreamMessageCodec.isStreamMessage(bytes, length);
  }

  /**
   * Decodes a datagram of another VM. May be called on any thread; the returned task applies the
   * message and has to run on the event loop.
   *
   * @throws IOException if it is not a valid message
   */
  public Runnable decode(byte[] bytes, int length) throws IOException {
    StreamMessage message = StreamMessageCodec.decode(bytes, length);
    return () -> apply(message);
  }

  private void apply(StreamMessage message) {
    if (message instanceof Announcement announcement) {
      announcement.streams().forEach(each -> table.put(each.key(), each.origin(), false));
    } else if (message instanceof OriginQuery query) {
      StreamOrigin origin = findHere(query.key(), query.service());
      send(new OriginReply(peers.address(), query.key(), origin), List.of(query.sender()));
    } else if (message instanceof OriginReply reply) {
      onReply(reply);
    } else if (message instanceof HistoryQuery query) {
      send(historyReply(), List.of(query.sender()));
    } else if (message instanceof HistoryReply reply) {
      versions.receiveReports(reply.mixed());
      versions.extendHistory(reply.historyMs(), reply.sightings());
    }
  }

  /** Returns this VM's history, or an empty one if it cannot be told in full. */
  private HistoryReply historyReply() {
    List<VersionSighting> sightings = versions.sightings();
    boolean isWhole =
        isCurrent.getAsBoolean()
            && sightings.size() <= StreamMessageCodec.MAX_ENTRIES
            && versions.mixedCount() <= ServiceVersions.MAX_REPORTS;
    return isWhole
        ? new HistoryReply(versions.historyMs(), versions.reportsToSend(), sightings)
        : new HistoryReply(0, versions.reportsToSend(), List.of());
  }

  private void onReply(OriginReply reply) {
    Search search = searches.get(reply.key());
    if (search == null) {
      return;
    }
    search.unanswered.remove(reply.sender());
    if (reply.origin() != null || search.unanswered.isEmpty()) {
      end(search, reply.origin(), reply.sender());
    }
  }

  /** Returns the software versions of the services. */
  public ServiceVersions versions() {
    return versions;
  }

  /** Returns the number of streams whose origin this VM knows. */
  public int knownCount() {
    return table.size();
  }

  /** Returns how many searches since the start had a result of a kind. */
  public long resultCount(Source source) {
    return results.getOrDefault(source, 0L);
  }
}
