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
package org.landingtrack.internal.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.ThreadFailures;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Catalog.NamedBackendServer;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.catalog.Spec;
import org.landingtrack.internal.directory.CacheFeed.CacheFeedException;
import org.landingtrack.internal.directory.CacheFeed.Events;
import org.landingtrack.internal.membership.Member;
import org.landingtrack.internal.peer.Messages.Fact;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the {@link CacheFeed} of each backend server that this controller owns by rendezvous
 * hashing, and passes the facts to a {@link FactSink}. Uses one thread per server.
 *
 * <p>After a gap in the events, after a failed call, and when a server gets another owner, all
 * blocks of the server are listed again. Thread-safe.
 */
public final class FeedFollower implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("directory");
  private static final long LONG_POLL_MS = 2_000;
  private static final long RETRY_DELAY_MS = 500;
  private static final long REASSIGN_INTERVAL_MS = 1_000;
  private static final int MAX_FOLLOWED_SERVERS = 256;

  private final String self;
  private final String dataCentre;
  private final Supplier<Catalog> catalog;
  private final Supplier<List<Member>> members;
  private final CacheFeed feed;
  private final FactSink sink;
  private final Map<String, Subscription> subscriptions = new ConcurrentHashMap<>();
  private final BoundedWorker assigner = BoundedWorker.start("feed-assign", 4);

  public FeedFollower(
      String self,
      String dataCentre,
      Supplier<Catalog> catalog,
      Supplier<List<Member>> members,
      CacheFeed feed,
      FactSink sink) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.catalog = catalog;
    this.members = members;
    this.feed = feed;
    this.sink = sink;
  }

  /** Starts the assignment of servers, which is repeated periodically. */
  public void start() {
    assigner.runPeriodically(REASSIGN_INTERVAL_MS, this::reassign);
  }

  private void reassign() {
    Map<String, NamedBackendServer> owned = ownedServers();
    Set<String> released = new HashSet<>(subscriptions.keySet());
    released.removeAll(owned.keySet());
    for (String name : released) {
      Subscription removed = subscriptions.remove(name);
      if (removed != null) {
        removed.stop();
      }
    }
    for (NamedBackendServer server : owned.values()) {
      if (subscriptions.size() >= MAX_FOLLOWED_SERVERS) {
        log.warn("More than {} servers to follow; ignoring the rest.", MAX_FOLLOWED_SERVERS);
        break;
      }
      subscriptions.computeIfAbsent(server.name(), name -> new Subscription(server).start());
    }
  }

  private Map<String, NamedBackendServer> ownedServers() {
    Map<String, NamedBackendServer> owned = new HashMap<>();
    List<Member> controllers = members.get();
    Catalog current = catalog.get();
    for (Map.Entry<String, Spec> entry : current.ofKind(Kind.SERVICE).entrySet()) {
      if (((Service) entry.getValue()).type().equals("plain")) {
        continue;
      }
      for (NamedBackendServer server : current.servers(entry.getKey())) {
        boolean local = server.spec().dataCentre().equals(dataCentre);
        if (local && ownerOf(server.name(), controllers).equals(self)) {
          owned.put(server.name(), server);
        }
      }
    }
    return owned;
  }

  private static String ownerOf(String server, List<Member> controllers) {
    List<Member> owners = Hashes.rendezvous("feed/" + server, controllers, Member::vm);
    return owners.isEmpty() ? "" : owners.get(0).vm();
  }

  /** Returns the number of servers that are followed. */
  public int followedServers() {
    return subscriptions.size();
  }

  @Override
  public void close() {
    assigner.close();
    subscriptions.values().forEach(Subscription::stop);
  }

  /** Reads the feed of one server on a thread of its own. */
  private final class Subscription {
    private final NamedBackendServer server;
    private final Thread thread;
    private volatile boolean stopped;
    private long lastSequence = -1;

    Subscription(NamedBackendServer server) {
      this.server = server;
      this.thread = BoundedWorker.daemonThreadFactory("feed-" + server.name()).newThread(this::run);
    }

    Subscription start() {
      thread.start();
      return this;
    }

    void stop() {
      stopped = true;
      thread.interrupt();
    }

    private void run() {
      boolean reachable = true;
      while (!stopped) {
        try {
          poll();
          reachable = true;
        } catch (CacheFeedException e) {
          if (reachable) {
            log.info(
                "Cannot read the cache events of server {}: {}.", server.name(), e.getMessage());
            sink.reset(server.name());
          }
          reachable = false;
          lastSequence = -1;
          sleepBeforeRetry();
        } catch (Throwable e) {
          ThreadFailures.record(thread.getName(), e, "reads the listing again");
          lastSequence = -1;
          sleepBeforeRetry();
        }
      }
    }

    private void sleepBeforeRetry() {
      try {
        Thread.sleep(RETRY_DELAY_MS);
      } catch (InterruptedException e) {
        stopped = true;
      }
    }

    private void poll() throws CacheFeedException {
      String address = server.spec().address();
      if (lastSequence < 0) {
        Events listing = feed.listing(address);
        sink.reset(server.name());
        sink.publish(toFacts(listing));
        lastSequence = listing.sequence();
        return;
      }
      Events events = feed.events(address, lastSequence, LONG_POLL_MS);
      if (events.gap()) {
        lastSequence = -1;
        return;
      }
      if (!events.events().isEmpty()) {
        sink.publish(toFacts(events));
      }
      lastSequence = events.sequence();
    }

    private List<Fact> toFacts(Events events) {
      List<Fact> facts = new ArrayList<>(events.events().size());
      for (CacheFeed.Event event : events.events()) {
        facts.add(
            new Fact(event.group(), event.key(), server.name(), event.manifestId(), event.held()));
      }
      return facts;
    }
  }
}
