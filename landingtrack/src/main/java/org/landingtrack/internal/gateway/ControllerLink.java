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
package org.landingtrack.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.ThreadFailures;
import org.landingtrack.internal.config.ConfigDelta;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.explain.ExplanationStore;
import org.landingtrack.internal.peer.Messages.ConfigAnswer;
import org.landingtrack.internal.peer.Messages.ConfigPull;
import org.landingtrack.internal.peer.Messages.Explained;
import org.landingtrack.internal.peer.Messages.Explanation;
import org.landingtrack.internal.peer.Messages.MemberInfo;
import org.landingtrack.internal.peer.Messages.MembersAnswer;
import org.landingtrack.internal.peer.Messages.MembersQuery;
import org.landingtrack.internal.peer.Messages.Taken;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects a gateway to the controllers: replicates the configuration, keeps the list of
 * controllers and of leaving backend servers up to date, and sends explanations of requests to a
 * controller. It prefers the configured controllers, such as the one of its own VM, and falls back
 * to the others of its data centre; if none answers, the gateway continues with the last known
 * state. Thread-safe.
 */
public final class ControllerLink implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("link");
  private static final int PULL_WAIT_MS = 5_000;
  private static final int PULL_TIMEOUT_MARGIN_MS = 2_000;
  private static final int CALL_TIMEOUT_MS = 1_000;
  private static final long RETRY_DELAY_MS = 200;
  private static final long MEMBERS_INTERVAL_MS = 1_000;
  private static final int MAX_EXPLANATION_BATCH = 256;

  private final String vm;
  private final String dataCentre;
  private final List<String> configuredAddresses;
  private final PeerClient peers;
  private final ConfigReplica replica;
  private final ExplanationStore explanationStore;
  private final Thread pullThread;
  private final BoundedWorker memberRefresher;
  private volatile List<MemberInfo> controllers = List.of();
  private volatile Set<String> leavingServers = Set.of();
  private volatile String currentAddress = "";
  private volatile boolean closed;

  /**
   * Creates a link; {@link #start} starts it.
   *
   * @param configuredAddresses addresses of controllers, tried first and in this order
   */
  public ControllerLink(
      String vm,
      String dataCentre,
      List<String> configuredAddresses,
      PeerClient peers,
      ConfigReplica replica,
      ExplanationStore explanationStore) {
    this.vm = vm;
    this.dataCentre = dataCentre;
    this.configuredAddresses = configuredAddresses;
    this.peers = peers;
    this.replica = replica;
    this.explanationStore = explanationStore;
    this.pullThread =
        BoundedWorker.daemonThreadFactory("config-follow").newThread(this::pullUntilClosed);
    this.memberRefresher = BoundedWorker.start("controllers", 16);
  }

  /** Starts to replicate the configuration and to refresh the list of controllers. */
  public void start() {
    pullThread.start();
    var unused = memberRefresher.offer(this::refreshMembers);
    memberRefresher.runPeriodically(MEMBERS_INTERVAL_MS, this::refreshMembers);
  }

  private void pullUntilClosed() {
    while (!closed) {
      if (!tryPullOnce()) {
        try {
          Thread.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
          return;
        }
      }
    }
  }

  /** Pulls once; returns false if that failed for any reason. */
  private boolean tryPullOnce() {
    try {
      return pullOnce();
    } catch (Throwable e) {
      ThreadFailures.record("config-follow", e, "pulls again");
      return false;
    }
  }

  /**
   * Pulls once, from the first controller that answers with a complete configuration; returns false
   * if there is none.
   */
  private boolean pullOnce() {
    for (String address : addresses()) {
      try {
        long after = replica.isComplete() ? replica.revision() : -1;
        ConfigAnswer answer =
            peers.call(
                address,
                new ConfigPull(vm, true, after, PULL_WAIT_MS),
                ConfigAnswer.class,
                PULL_WAIT_MS + PULL_TIMEOUT_MARGIN_MS);
        if (!answer.complete()) {
          continue;
        }
        currentAddress = address;
        merge(after, answer.delta());
        return true;
      } catch (PeerException e) {
        log.debug("Controller {} did not return configuration: {}.", address, e.getMessage());
      }
    }
    return false;
  }

  private void merge(long after, ConfigDelta delta) {
    if (replica.merge(Math.max(0, after), delta)) {
      log.info("Configuration revision {} is in force.", replica.revision());
    }
  }

  /**
   * Returns the addresses to try, in order: the configured ones, then the other controllers of the
   * data centre.
   */
  private List<String> addresses() {
    List<String> addresses = new ArrayList<>(configuredAddresses);
    for (MemberInfo controller : controllers) {
      if (controller.dataCentre().equals(dataCentre) && !addresses.contains(controller.address())) {
        addresses.add(controller.address());
      }
    }
    return addresses;
  }

  private void refreshMembers() {
    for (String address : addresses()) {
      try {
        MembersAnswer answer =
            peers.call(address, new MembersQuery(), MembersAnswer.class, CALL_TIMEOUT_MS);
        controllers = List.copyOf(answer.members());
        leavingServers = Set.copyOf(answer.leaving());
        sendExplanations(address);
        return;
      } catch (PeerException e) {
        log.debug("Controller {} did not return its members: {}.", address, e.getMessage());
      }
    }
  }

  private void sendExplanations(String address) {
    List<Explanation> batch = explanationStore.drainUnsent(MAX_EXPLANATION_BATCH);
    if (batch.isEmpty()) {
      return;
    }
    var unused = peers.call(address, new Explained(batch), Taken.class, CALL_TIMEOUT_MS);
  }

  /** Returns the live controllers of this gateway's data centre. */
  public List<MemberInfo> controllers() {
    List<MemberInfo> local = new ArrayList<>();
    for (MemberInfo controller : controllers) {
      if (controller.dataCentre().equals(dataCentre)) {
        local.add(controller);
      }
    }
    return local;
  }

  /**
   * Returns true once the configuration and the controllers are known. Claims of request keys need
   * the controllers.
   */
  public boolean isReady() {
    return replica.isComplete() && !controllers.isEmpty();
  }

  /** Returns the names of the backend servers that are leaving by the VM list. */
  public Set<String> leavingServers() {
    return leavingServers;
  }

  /** Returns the live controllers of all data centres. */
  public List<MemberInfo> allControllers() {
    return controllers;
  }

  /**
   * Returns the controllers of this data centre in the order in which they own a key, by rendezvous
   * hashing: the owner first, then its successors.
   */
  public List<MemberInfo> ownersOf(String key) {
    return Hashes.rendezvous(key, controllers(), MemberInfo::vm);
  }

  /** Returns the address of the controller that last returned configuration, if any. */
  public Optional<String> currentAddress() {
    @Nullable String address = currentAddress;
    return address.isEmpty() ? Optional.empty() : Optional.of(address);
  }

  @Override
  public void close() {
    closed = true;
    pullThread.interrupt();
    memberRefresher.close();
  }
}
