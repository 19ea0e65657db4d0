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
package org.landingtrack.internal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.ThreadFailures;
import org.landingtrack.internal.catalog.StoredEntry;
import org.landingtrack.internal.membership.Member;
import org.landingtrack.internal.membership.MembershipService;
import org.landingtrack.internal.peer.Messages.ConfigAnswer;
import org.landingtrack.internal.peer.Messages.ConfigPull;
import org.landingtrack.internal.peer.Messages.RevisionAnswer;
import org.landingtrack.internal.peer.Messages.RevisionQuery;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerException;
import org.landingtrack.internal.platform.Backoff;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a controller's {@link ConfigReplica} up to date. The controller watches the platform if it
 * is one of the first in the {@link RelayTree}, and pulls from its parent otherwise. In addition,
 * it compares its revision with that of a random member every second.
 *
 * <p>A new controller pulls from its peers first, so that a restart of many VMs does not overload
 * the platform, and so that it can start during an outage of the platform.
 */
public final class ConfigFeed implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("config");
  private static final String PREFIX = "config/";
  private static final int PAGE_SIZE = 500;
  private static final long WATCH_MS = 10_000;
  private static final int PULL_WAIT_MS = 5_000;
  private static final int CALL_TIMEOUT_MARGIN_MS = 2_000;
  private static final long COMPARE_INTERVAL_MS = 1_000;

  private final ObjectApi api;
  private final PeerClient peers;
  private final MembershipService membership;
  private final ConfigReplica replica;
  private final RandomGenerator random;
  private final Backoff backoff;
  private final Thread updateThread;
  private final BoundedWorker compareTask;
  private long watchedRevision = -1;
  private volatile boolean closed;

  /** Creates a feed that is not started. */
  public ConfigFeed(
      ObjectApi api,
      PeerClient peers,
      MembershipService membership,
      ConfigReplica replica,
      RandomGenerator random) {
    this.api = api;
    this.peers = peers;
    this.membership = membership;
    this.replica = replica;
    this.random = random;
    this.backoff = new Backoff(random, 100, 5_000);
    this.updateThread =
        BoundedWorker.daemonThreadFactory("config-feed").newThread(this::updateLoop);
    this.compareTask = BoundedWorker.start("config-compare", 4);
  }

  /** Starts the threads that update and compare the replica. */
  public void start() {
    updateThread.start();
    compareTask.runPeriodically(COMPARE_INTERVAL_MS, this::compare);
  }

  private void updateLoop() {
    while (!closed) {
      try {
        updateOnce();
        backoff.reset();
      } catch (PlatformException | PeerException e) {
        log.debug("Could not update the configuration, will retry: {}.", e.getMessage());
        pause();
      } catch (Throwable e) {
        ThreadFailures.record("config-feed", e, "lists again");
        watchedRevision = -1;
        pause();
      }
    }
  }

  private void pause() {
    try {
      Thread.sleep(backoff.nextMs());
    } catch (InterruptedException e) {
      closed = true;
    }
  }

  private void updateOnce() {
    Optional<Member> parent = parent();
    if (parent.isPresent()) {
      watchedRevision = -1;
      pull(parent.get().address(), PULL_WAIT_MS);
      return;
    }
    if (watchedRevision < 0) {
      if (!replica.isComplete()) {
        pullFromPeers();
      }
      listAll();
      return;
    }
    watch();
  }

  /** Returns the member that this one pulls from; empty if it watches the platform. */
  public Optional<Member> parent() {
    Member self = membership.self();
    List<Member> sameDataCentre = new ArrayList<>();
    for (Member member : membership.usable()) {
      if (member.dataCentre().equals(self.dataCentre())) {
        sameDataCentre.add(member);
      }
    }
    List<String> names = sameDataCentre.stream().map(Member::vm).toList();
    Optional<String> parent = RelayTree.parent(self.vm(), self.dataCentre(), names);
    return parent.flatMap(vm -> sameDataCentre.stream().filter(m -> m.vm().equals(vm)).findFirst());
  }

  private void pullFromPeers() {
    for (Member member : others()) {
      try {
        pull(member.address(), 0);
        if (replica.isComplete()) {
          return;
        }
      } catch (PeerException e) {
        log.debug(
            "Could not pull the configuration from peer {}: {}.", member.vm(), e.getMessage());
      }
    }
  }

  private List<Member> others() {
    List<Member> others = new ArrayList<>(membership.usable());
    others.removeIf(member -> member.vm().equals(membership.self().vm()));
    return others;
  }

  private void pull(String address, long waitMs) {
    long after = replica.isComplete() ? replica.revision() : -1;
    ConfigPull request = new ConfigPull(membership.self().vm(), false, after, waitMs);
    ConfigAnswer answer =
        peers.call(address, request, ConfigAnswer.class, (int) waitMs + CALL_TIMEOUT_MARGIN_MS);
    if (answer.complete() && replica.merge(Math.max(0, after), answer.delta())) {
      log.info("Received configuration revision {} from peer {}.", replica.revision(), address);
    }
  }

  /**
   * Lists all entries page by page. The next watch starts at the revision of the first page, so
   * that changes made during the listing are not missed.
   */
  private void listAll() {
    long firstPageRevision = -1;
    String after = "";
    List<ConfigEntry> entries = new ArrayList<>();
    while (true) {
      Listing page = api.list(CallClass.CONFIGURATION, PREFIX, after, PAGE_SIZE);
      if (firstPageRevision < 0) {
        firstPageRevision = page.revision();
      }
      page.objects().forEach(object -> entries.add(entry(object)));
      if (page.objects().size() < PAGE_SIZE) {
        break;
      }
      after = page.objects().get(page.objects().size() - 1).key();
    }
    merge(entries);
    watchedRevision = firstPageRevision;
  }

  private void watch() {
    try {
      Listing changes = api.watch(CallClass.CONFIGURATION, PREFIX, watchedRevision, WATCH_MS);
      merge(changes.objects().stream().map(ConfigFeed::entry).toList());
      watchedRevision = Math.max(watchedRevision, changes.revision());
    } catch (PlatformException e) {
      if (e.reason() != PlatformException.Reason.TOO_OLD) {
        throw e;
      }
      log.info(
          "The platform no longer keeps the changes since the last watch; listing all entries again.");
      watchedRevision = -1;
    }
  }

  /**
   * Merges entries into the replica. The replica's revision is that of its newest entry, so that
   * writes to other objects of the platform do not change it.
   */
  private void merge(List<ConfigEntry> entries) {
    long newestRevision = replica.revision();
    for (ConfigEntry entry : entries) {
      newestRevision = Math.max(newestRevision, entry.revision());
    }
    if (replica.merge(replica.revision(), new ConfigDelta(newestRevision, entries))) {
      log.info("Received configuration revision {} from the platform.", replica.revision());
    }
  }

  private static ConfigEntry entry(StoredObject object) {
    return new ConfigEntry(object.key(), object.version(), object.revision(), replicaValue(object));
  }

  private static String replicaValue(StoredObject object) {
    try {
      return Json.write(Json.read(object.key(), object.value(), StoredEntry.class).forReplicas());
    } catch (LandingtrackException e) {
      // A newer release may write entries that this one cannot read; the replica logs them.
      return object.value();
    }
  }

  private void compare() {
    List<Member> others = others();
    if (others.isEmpty()) {
      return;
    }
    Member other = others.get(random.nextInt(others.size()));
    try {
      RevisionAnswer answer =
          peers.call(
              other.address(), new RevisionQuery(), RevisionAnswer.class, CALL_TIMEOUT_MARGIN_MS);
      if (answer.revision() > replica.revision()) {
        pull(other.address(), 0);
      }
    } catch (PeerException e) {
      log.debug(
          "Could not compare the configuration revision with member {}: {}.",
          other.vm(),
          e.getMessage());
    }
  }

  @Override
  public void close() {
    closed = true;
    updateThread.interrupt();
    compareTask.close();
  }
}
