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
 * that it began, and announces them to a few VMs that are chosen by rendezvous hashing of the
 * stream, so that a stream can go on after its VM ended.
 *
 * <p>A stream that no VM knows began at the only version of its service, if there is only one. That
 * is derived only from lists of servers that this VM has read without a gap, the last of them after
 * the stream began. A VM that has just started, or has a gap, takes over the history of another
 * one.
 *
 * <p>What is not known for certain is not assumed: a lost message, a VM without history or a store
 * that cannot be read makes an origin unknown, but never a wrong one. VMs tell each other only the
 * streams that they know. Used on the event loop only.
 */
public final class StreamOrigins {
  /** VMs to which a stream is announced while its origin cannot be derived. */
  static final int REPLICAS = 3;

  /** VMs to which other streams are announced, for the case that a version joins. */
  static final int SINGLE_VERSION_REPLICAS = 2;

  /** VMs that are asked; more than have it, since views of the fleet and VMs change. */
  static final int MAX_ASKED_VMS = 6;

  /** Time after which VMs that have not replied are asked again. */
  static final long RETRY_MS = 50;

  /** Time for the replies of other VMs. */
  static final long SEARCH_TIMEOUT_MS = 150;

  /** Time for reading the store before an origin is derived. */
  static final long CONFIRMATION_TIMEOUT_MS = 500;

  /**
   * Time for which a VM that has just started waits until it knows other VMs, which it learns
   * within a few rounds of gossip. Without an answer its caller would have to start over.
   */
  static final long START_TIMEOUT_MS = 1_000;

  /** Bound of concurrent searches; other VMs are not asked for further streams. */
  static final int MAX_SEARCHES = 256;

  /** Interval at which a VM without history asks others for theirs. */
  static final long HISTORY_QUERY_INTERVAL_MS = 200;

  /** Time after the start of its history for which a VM asks for the history of others. */
  static final long HISTORY_QUERY_WINDOW_MS = 10_000;

  /** Service in a query, so that VMs of the release before reply only with streams they know. */
  private static final String NO_SERVICE = "";

  private static final Logger log = LoggerFactory.getLogger("streams");

  private final EventLoop loop;
  private final ServiceVersions versions;
  private final PeerLoads peers;
  private final StreamOriginTable table;
  private final Map<StreamKey, Search> searches = new HashMap<>();
  private final Map<Source, Long> results = new EnumMap<>(Source.class);
  private Sender sender = (vm, bytes) -> {};
  private ListConfirmation confirmation = listener -> listener.accept(true);
  private boolean isStarted;
  private boolean isQueryingHistory;
  private boolean isAnnouncementPending;
  private long historyQueriesEndMs;
  private long startEndsMs;

  /** Starts at the clock, so that a restarted process does not use the ids of the earlier one. */
  private long lastQueryId;

  /** Replies to earlier queries do not cover the time of this VM's last gap. */
  private long firstHistoryQueryId;

  /** Sends datagrams to other VMs. Called on the event loop. */
  @FunctionalInterface
  public interface Sender {
    /** Sends a datagram to the address at which a VM receives gossip. */
    void send(String vm, byte[] bytes);
  }

  /** A search for the origin of a stream, for all requests that resume it. */
  private static final class Search {
    private final OriginQuery query;
    private final String service;
    private final Set<String> unanswered;
    private final List<Consumer<OriginSearchResult>> listeners = new ArrayList<>();
    private final long startedAtMs;

    Search(OriginQuery query, String service, List<String> vms, long startedAtMs) {
      this.query = query;
      this.service = service;
      this.unanswered = new HashSet<>(vms);
      this.startedAtMs = startedAtMs;
    }
  }

  /** Derives an origin from the only version of a service. */
  private final class Derivation {
    private final String service;
    private final long startedAtMs;
    private final Consumer<OriginSearchResult> listener;
    private boolean hasEnded;

    Derivation(String service, long startedAtMs, Consumer<OriginSearchResult> listener) {
      this.service = service;
      this.startedAtMs = startedAtMs;
      this.listener = listener;
    }

    void start() {
      if (versions.onlyVersion(service) == null) {
        end(false);
        return;
      }
      EventLoop.Timer timeout = loop.schedule(CONFIRMATION_TIMEOUT_MS, () -> end(false));
      confirmation.confirm(
          isConfirmed -> {
            timeout.cancel();
            end(isConfirmed);
          });
    }

    private void end(boolean isConfirmed) {
      if (hasEnded) {
        return;
      }
      hasEnded = true;
      String version = isConfirmed ? versions.onlyVersion(service) : null;
      if (version == null) {
        report(null, Source.UNKNOWN, "", startedAtMs, listener);
      } else {
        StreamOrigin origin = new StreamOrigin(service, version);
        report(origin, Source.ONLY_VERSION, "", startedAtMs, listener);
      }
    }
  }

  /**
   * Creates the directory of a VM that has begun no stream. Before {@link #start} it sends nothing,
   * and takes its lists for current.
   *
   * @param peers the other VMs
   */
  public StreamOrigins(EventLoop loop, ServiceVersions versions, PeerLoads peers) {
    this.loop = loop;
    this.versions = versions;
    this.peers = peers;
    this.table = new StreamOriginTable(loop, ServiceVersions.RETENTION_MS);
    this.lastQueryId = loop.millis();
    versions.onMixed(this::announceAll);
    versions.onHistoryStart(this::onHistoryStart);
  }

  /**
   * Starts to exchange messages. From the first list of servers on, asks other VMs for their
   * history, which a VM that has just started lacks.
   *
   * @param datagramSender sends messages to other VMs
   * @param listConfirmation reads the store before an origin is derived from its lists
   */
  public void start(Sender datagramSender, ListConfirmation listConfirmation) {
    sender = datagramSender;
    confirmation = listConfirmation;
    isStarted = true;
    historyQueriesEndMs = loop.millis() + HISTORY_QUERY_WINDOW_MS;
    startEndsMs = historyQueriesEndMs;
    if (versions.hasListed()) {
      startHistoryQueries();
    }
  }

  private void onHistoryStart(boolean isFirstList) {
    firstHistoryQueryId = lastQueryId + 1;
    if (!isStarted) {
      return;
    }
    historyQueriesEndMs = loop.millis() + HISTORY_QUERY_WINDOW_MS;
    startEndsMs = isFirstList ? historyQueriesEndMs : startEndsMs;
    startHistoryQueries();
  }

  private void startHistoryQueries() {
    if (!isQueryingHistory) {
      isQueryingHistory = true;
      queryHistory();
    }
  }

  private void queryHistory() {
    if (versions.hasHistory() || loop.millis() > historyQueriesEndMs) {
      isQueryingHistory = false;
      return;
    }
    loop.schedule(HISTORY_QUERY_INTERVAL_MS, this::queryHistory);
    HistoryQuery query = new HistoryQuery(peers.address(), ++lastQueryId);
    send(query, peers.responsibleVms(loop.millis(), REPLICAS));
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
    boolean isDerivable = !versions.isMixed(origin.service()) && versions.hasHistory();
    int replicas = isDerivable ? SINGLE_VERSION_REPLICAS : REPLICAS;
    List<String> vms = peers.responsibleVms(key.hash(), replicas);
    if (vms.isEmpty()) {
      announceOnceVmsAreKnown();
    } else {
      send(new Announcement(List.of(new KnownStream(key, origin))), vms);
    }
  }

  /** Announces the streams of this VM later, if it has just started and knows no other VM yet. */
  private void announceOnceVmsAreKnown() {
    if (isAnnouncementPending || loop.millis() >= startEndsMs) {
      return;
    }
    isAnnouncementPending = true;
    loop.schedule(RETRY_MS, this::announcePending);
  }

  private void announcePending() {
    isAnnouncementPending = false;
    if (peers.responsibleVms(loop.millis(), 1).isEmpty()) {
      announceOnceVmsAreKnown();
      return;
    }
    int vms = announce(table.localStreams());
    log.atInfo()
        .addKeyValue("vms", vms)
        .addKeyValue("why", "this VM knew no other VM when the streams began")
        .log("streams announced to other VMs");
  }

  /** Announces all streams of this VM at a service that has become mixed. */
  private void announceAll(String service) {
    List<KnownStream> streams = new ArrayList<>();
    for (KnownStream stream : table.localStreams()) {
      if (stream.origin().service().equals(service)) {
        streams.add(stream);
      }
    }
    int vms = announce(streams);
    log.atInfo()
        .addKeyValue("service", service)
        .addKeyValue("vms", vms)
        .addKeyValue("why", "several software versions, or a route's services changed")
        .log("streams announced to other VMs");
  }

  /** Announces streams; returns the number of VMs to which. */
  private int announce(List<KnownStream> announced) {
    Map<String, List<KnownStream>> byVm = new LinkedHashMap<>();
    for (KnownStream stream : announced) {
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
    return byVm.size();
  }

  /**
   * Finds the origin of a stream: in this VM's memory, in that of other VMs, or by the only version
   * of its service.
   *
   * @param key the stream, or null if the caller does not name it
   * @param service the service at which the stream would go on without a known origin
   * @param listener receives the result at once, or within the sum of {@link #SEARCH_TIMEOUT_MS}
   *     and {@link #CONFIRMATION_TIMEOUT_MS}; while this VM knows no other one after its start,
   *     within {@link #START_TIMEOUT_MS} more
   */
  public void find(@Nullable StreamKey key, String service, Consumer<OriginSearchResult> listener) {
    long now = loop.millis();
    StreamOrigin known = key == null ? null : table.find(key);
    if (known != null) {
      report(known, Source.KNOWN, "", now, listener);
    } else if (key == null) {
      new Derivation(service, now, listener).start();
    } else {
      search(key, service, listener, now);
    }
  }

  private void report(
      @Nullable StreamOrigin origin,
      Source source,
      String vm,
      long startedAtMs,
      Consumer<OriginSearchResult> listener) {
    results.merge(source, 1L, Long::sum);
    long tookMs = loop.millis() - startedAtMs;
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
    boolean isStarting = loop.millis() < Math.min(waitUntilMs, startEndsMs);
    if (vms.isEmpty() && isStarting && versions.onlyVersion(service) == null) {
      loop.schedule(RETRY_MS, () -> search(key, service, listener, startedAtMs));
      return;
    }
    if (vms.isEmpty() || searches.size() >= MAX_SEARCHES) {
      new Derivation(service, startedAtMs, listener).start();
      return;
    }
    OriginQuery query = new OriginQuery(peers.address(), key, NO_SERVICE, ++lastQueryId);
    Search search = new Search(query, service, vms, startedAtMs);
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

  private void end(Search search, @Nullable StreamOrigin reply, String vm) {
    if (!searches.remove(search.query.key(), search)) {
      return;
    }
    // The stream may have been announced to this VM in the meantime.
    StreamOrigin announced = table.find(search.query.key());
    for (Consumer<OriginSearchResult> listener : search.listeners) {
      if (reply != null) {
        report(reply, Source.OTHER_VM, vm, search.startedAtMs, listener);
      } else if (announced != null) {
        report(announced, Source.KNOWN, "", search.startedAtMs, listener);
      } else {
        new Derivation(search.service, search.startedAtMs, listener).start();
      }
    }
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
      StreamOrigin origin = table.find(query.key());
      StreamMessage reply = new OriginReply(peers.address(), query.key(), origin, query.queryId());
      send(reply, List.of(query.sender()));
    } else if (message instanceof OriginReply reply) {
      onReply(reply);
    } else if (message instanceof HistoryQuery query) {
      onHistoryQuery(query);
    } else if (message instanceof HistoryReply reply) {
      onHistoryReply(reply);
    }
  }

  private void onHistoryQuery(HistoryQuery query) {
    if (!versions.hasHistory()) {
      send(historyReply(query, false), List.of(query.sender()));
      return;
    }
    confirmation.confirm(
        isConfirmed -> send(historyReply(query, isConfirmed), List.of(query.sender())));
  }

  /** Returns this VM's history, or an empty one if it cannot be told in full. */
  private HistoryReply historyReply(HistoryQuery query, boolean isConfirmed) {
    List<VersionSighting> sightings = versions.sightings();
    boolean isWhole =
        isConfirmed
            && sightings.size() <= StreamMessageCodec.MAX_ENTRIES
            && versions.mixedCount() <= ServiceVersions.MAX_REPORTS;
    return isWhole
        ? new HistoryReply(
            versions.historyMs(), versions.reportsToSend(), sightings, query.queryId())
        : new HistoryReply(0, versions.reportsToSend(), List.of(), query.queryId());
  }

  private void onHistoryReply(HistoryReply reply) {
    versions.receiveReports(reply.mixed());
    if (reply.queryId() >= firstHistoryQueryId) {
      versions.extendHistory(reply.historyMs(), reply.sightings());
    }
  }

  /** Takes the origin of any reply; only replies to the running search show that a VM has none. */
  private void onReply(OriginReply reply) {
    Search search = searches.get(reply.key());
    if (search == null) {
      return;
    }
    if (reply.origin() != null) {
      end(search, reply.origin(), reply.sender());
      return;
    }
    if (reply.queryId() == search.query.queryId() && search.unanswered.remove(reply.sender())) {
      if (search.unanswered.isEmpty()) {
        end(search, null, "");
      }
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
