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
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.config.ConfigDelta;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.explain.Explainer;
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
 * A gateway's link to the controllers: follows the configuration and the list of controllers, and
 * hands explanations on. It prefers its own VM's controller and falls back to any other; when none
 * answers, the gateway goes on with what it has. Thread-safe.
 */
public final class ControllerLink implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("link");
  private static final int PULL_WAIT_MS = 5_000;
  private static final int PULL_SLACK_MS = 2_000;
  private static final int CALL_MS = 1_000;
  private static final long PAUSE_MS = 200;
  private static final long MEMBERS_EVERY_MS = 1_000;
  private static final int EXPLAIN_BATCH = 256;

  private final String vm;
  private final String dataCentre;
  private final List<String> configured;
  private final PeerClient peers;
  private final ConfigReplica replica;
  private final Explainer explainer;
  private final Thread follower;
  private final Duty members;
  private volatile List<MemberInfo> controllers = List.of();
  private volatile Set<String> leaving = Set.of();
  private volatile String current = "";
  private volatile boolean closed;

  public ControllerLink(
      String vm,
      String dataCentre,
      List<String> configured,
      PeerClient peers,
      ConfigReplica replica,
      Explainer explainer) {
    this.vm = vm;
    this.dataCentre = dataCentre;
    this.configured = configured;
    this.peers = peers;
    this.replica = replica;
    this.explainer = explainer;
    this.follower = Duty.daemon("config-follow").newThread(this::follow);
    this.members = Duty.start("controllers", 16);
  }

  /** Starts following. */
  public void start() {
    follower.start();
    var unused = members.offer(this::refresh);
    members.every(MEMBERS_EVERY_MS, this::refresh);
  }

  private void follow() {
    while (!closed) {
      if (!followOnce()) {
        try {
          Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
          return;
        }
      }
    }
  }

  /** Tries the addresses in order; returns true if one had configuration to give. */
  private boolean followOnce() {
    for (String address : addresses()) {
      try {
        long after = replica.isComplete() ? replica.revision() : -1;
        ConfigAnswer answer =
            peers.call(
                address,
                new ConfigPull(vm, true, after, PULL_WAIT_MS),
                ConfigAnswer.class,
                PULL_WAIT_MS + PULL_SLACK_MS);
        if (!answer.complete()) {
          continue;
        }
        current = address;
        merge(after, answer.delta());
        return true;
      } catch (PeerException e) {
        log.debug("Controller {} does not answer: {}.", address, e.getMessage());
      }
    }
    return false;
  }

  private void merge(long after, ConfigDelta delta) {
    if (replica.merge(Math.max(0, after), delta)) {
      log.info("Revision {} is in force.", replica.revision());
    }
  }

  /** The configured addresses first, then the other controllers of the data centre. */
  private List<String> addresses() {
    List<String> addresses = new ArrayList<>(configured);
    for (MemberInfo controller : controllers) {
      if (controller.dataCentre().equals(dataCentre) && !addresses.contains(controller.address())) {
        addresses.add(controller.address());
      }
    }
    return addresses;
  }

  private void refresh() {
    for (String address : addresses()) {
      try {
        MembersAnswer answer =
            peers.call(address, new MembersQuery(), MembersAnswer.class, CALL_MS);
        controllers = List.copyOf(answer.members());
        leaving = Set.copyOf(answer.leaving());
        handOn(address);
        return;
      } catch (PeerException e) {
        log.debug("Controller {} does not answer: {}.", address, e.getMessage());
      }
    }
  }

  private void handOn(String address) {
    List<Explanation> batch = explainer.drain(EXPLAIN_BATCH);
    if (batch.isEmpty()) {
      return;
    }
    var unused = peers.call(address, new Explained(batch), Taken.class, CALL_MS);
  }

  /** Returns the live controllers of this gateway's data centre. */
  public List<MemberInfo> controllers() {
    List<MemberInfo> own = new ArrayList<>();
    for (MemberInfo controller : controllers) {
      if (controller.dataCentre().equals(dataCentre)) {
        own.add(controller);
      }
    }
    return own;
  }

  /** Returns true once configuration and controllers are known; claims need the latter. */
  public boolean isReady() {
    return replica.isComplete() && !controllers.isEmpty();
  }

  /** Returns the backend servers that are leaving. */
  public Set<String> leaving() {
    return leaving;
  }

  /** Returns the live controllers of all data centres. */
  public List<MemberInfo> allControllers() {
    return controllers;
  }

  /** Returns the controllers that own a key, the owner first. */
  public List<MemberInfo> ownersOf(String key) {
    return Hashes.rendezvous(key, controllers(), MemberInfo::vm);
  }

  /** Returns the address of the controller that last gave configuration. */
  public Optional<String> current() {
    @Nullable String address = current;
    return address.isEmpty() ? Optional.empty() : Optional.of(address);
  }

  @Override
  public void close() {
    closed = true;
    follower.interrupt();
    members.close();
  }
}
