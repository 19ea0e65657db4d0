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
package org.landingtrack.internal.controller;

import io.javalin.Javalin;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.base.HttpServers;
import org.landingtrack.internal.caller.RequestIds;
import org.landingtrack.internal.membership.Member;
import org.landingtrack.internal.operator.OperatorServer;
import org.landingtrack.internal.operator.OperatorService;
import org.landingtrack.internal.operator.Rollouts;
import org.landingtrack.internal.peer.Messages.ExplainAnswer;
import org.landingtrack.internal.peer.Messages.ExplainQuery;
import org.landingtrack.internal.peer.Messages.InForce;
import org.landingtrack.internal.peer.Messages.InForceAnswer;
import org.landingtrack.internal.peer.Messages.InForceQuery;
import org.landingtrack.internal.peer.Messages.MemberInfo;
import org.landingtrack.internal.peer.Messages.MembersAnswer;
import org.landingtrack.internal.peer.Messages.MembersQuery;
import org.landingtrack.internal.peer.PeerException;
import org.landingtrack.internal.platform.HttpVmList;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.VmList;
import org.landingtrack.internal.settings.ControllerSettings;
import org.landingtrack.internal.wiring.ProcessModule;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running controller: takes part in the controllers' membership, replicates the configuration,
 * and serves peers, operators, and HTTP requests for health and metrics. Thread-safe.
 */
public final class ControllerProcess implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("controller");
  private static final int HTTP_THREADS = 8;
  private static final long HTTP_IDLE_MS = 30_000;
  private static final long SEED_EVERY_MS = 1_000;
  private static final int CALL_MS = 1_000;

  private final ControllerSettings settings;
  private final ControllerComponent parts;
  private final VmList vmList;
  private final Duty seeder = Duty.start("seed", 4);
  private final OperatorServer operators;
  private final Javalin http;
  private final CountDownLatch stopped = new CountDownLatch(1);

  private ControllerProcess(ControllerSettings settings, ControllerComponent component) {
    this.settings = settings;
    this.parts = component;
    this.vmList = new HttpVmList(settings.vmList());
    component.routes().addTo(component.peerServer());
    OperatorService service =
        new OperatorService(
            component.objectApi(),
            component.writer(),
            component.replica(),
            component.membership(),
            component.objectApi()::reachable,
            this::inForce,
            this::explain);
    this.operators =
        OperatorServer.open(
            settings.host(),
            settings.operatorsPort(),
            service,
            settings.operators(),
            component.tls().identities());
    addMetrics();
    this.http =
        HttpServers.start(
            settings.host(),
            settings.httpPort(),
            HTTP_THREADS,
            HTTP_IDLE_MS,
            component.metrics(),
            component.replica()::isComplete,
            config -> {});
  }

  /** Starts a controller; it runs until it is closed. */
  public static ControllerProcess start(ControllerSettings settings) {
    ControllerComponent component =
        DaggerControllerComponent.builder()
            .processModule(new ProcessModule(settings.tls()))
            .controllerModule(new ControllerModule(settings))
            .build();
    ControllerProcess process = new ControllerProcess(settings, component);
    process.seed();
    process.seeder.every(SEED_EVERY_MS, process::seed);
    component.feed().start();
    component.follower().start();
    component.roller().start();
    log.info(
        "Controller {} listens on port {} for peers, {} for operators and {} for HTTP.",
        settings.vm(),
        component.peerServer().port(),
        process.operators.port(),
        process.http.port());
    return process;
  }

  private void addMetrics() {
    var metrics = parts.metrics();
    metrics.gauge(
        "landingtrack_config_revision",
        "Revision of the configuration in force.",
        () -> parts.replica().revision());
    metrics.gauge(
        "landingtrack_members",
        "Controllers that count as usable members.",
        () -> parts.membership().usable().size());
    metrics.gauge(
        "landingtrack_directory_groups",
        "Prompt groups in the prefix directory.",
        () -> parts.directory().size());
    metrics.gauge(
        "landingtrack_followed_servers",
        "Backend servers whose cache events this controller follows.",
        () -> parts.follower().followed());
    metrics.gauge(
        "landingtrack_platform_reachable",
        "1 while the Object API answers, otherwise 0.",
        () -> parts.objectApi().reachable() ? 1 : 0);
  }

  /**
   * Updates the known controllers and the leaving backend servers. Only the controllers that watch
   * the platform read the VM list; the others ask their parent, so that the load on the VM list
   * does not grow with the fleet. A controller that knows no other one also asks the configured
   * seeds.
   */
  private void seed() {
    List<Member> found = new ArrayList<>();
    Optional<Member> parent = parts.feed().parent();
    if (parent.isPresent()) {
      found.addAll(membersOf(parent.get().address()));
    } else if (!settings.vmList().isEmpty()) {
      found.addAll(listed());
    }
    if (parts.membership().usable().size() <= 1) {
      for (String address : settings.seeds()) {
        found.addAll(membersOf(address));
      }
    }
    found.removeIf(member -> member.vm().equals(settings.vm()));
    parts.membership().seed(found);
  }

  private List<Member> listed() {
    List<Member> members = new ArrayList<>();
    List<String> leaving = new ArrayList<>();
    try {
      for (VmList.Vm vm : vmList.vms()) {
        if (!vm.role().equals("entry")) {
          if (vm.leaving()) {
            leaving.add(vm.name());
          }
        } else if (!vm.leaving()) {
          members.add(
              new Member(
                  vm.name(), vm.dataCentre(), vm.region(), vm.address(), Member.State.ALIVE, 0));
        }
      }
      parts.leaving().set(leaving);
    } catch (PlatformException e) {
      log.debug("The VM list cannot be read: {}.", e.getMessage());
    }
    return members;
  }

  private List<Member> membersOf(String address) {
    List<Member> members = new ArrayList<>();
    try {
      MembersAnswer answer =
          parts.peerClient().call(address, new MembersQuery(), MembersAnswer.class, CALL_MS);
      if (parts.feed().parent().isPresent()) {
        parts.leaving().set(answer.leaving());
      }
      for (MemberInfo info : answer.members()) {
        members.add(
            new Member(
                info.vm(),
                info.dataCentre(),
                info.region(),
                info.address(),
                Member.State.ALIVE,
                info.incarnation()));
      }
    } catch (PeerException e) {
      log.debug("Controller {} did not return its members: {}.", address, e.getMessage());
    }
    return members;
  }

  /**
   * Counts the processes in which a revision is in force. A gateway that has just changed its
   * controller is reported by both, and counts once, with the higher revision. A controller that
   * does not answer counts as one on an older revision.
   */
  private Rollouts.Count inForce(long revision) {
    Map<String, Long> revisions = new HashMap<>();
    for (Member member : parts.membership().usable()) {
      try {
        InForceAnswer answer =
            parts
                .peerClient()
                .call(member.address(), new InForceQuery(), InForceAnswer.class, CALL_MS);
        for (InForce process : answer.processes()) {
          revisions.merge(process.process(), process.revision(), Math::max);
        }
      } catch (PeerException e) {
        revisions.putIfAbsent("controller/" + member.vm(), -1L);
      }
    }
    int inForce = 0;
    for (long processRevision : revisions.values()) {
      if (processRevision >= revision) {
        inForce++;
      }
    }
    return new Rollouts.Count(inForce, revisions.size());
  }

  /**
   * Returns the explanation of a request from this controller, else from the controller of the VM
   * that the request id names, else from any other one.
   */
  private List<String> explain(String requestId) {
    List<String> localSentences = parts.explainer().explain(requestId);
    if (!localSentences.isEmpty()) {
      return localSentences;
    }
    String vm = RequestIds.vmOf(requestId);
    List<Member> members = new ArrayList<>(parts.membership().usable());
    members.sort(Comparator.comparing((Member member) -> !member.vm().equals(vm)));
    for (Member member : members) {
      if (member.vm().equals(settings.vm())) {
        continue;
      }
      try {
        List<String> sentences =
            parts
                .peerClient()
                .call(member.address(), new ExplainQuery(requestId), ExplainAnswer.class, CALL_MS)
                .sentences();
        if (!sentences.isEmpty()) {
          return sentences;
        }
      } catch (PeerException e) {
        log.debug("Controller {} did not return an explanation: {}.", member.vm(), e.getMessage());
      }
    }
    return List.of();
  }

  /** Returns the port for peers. */
  public int peerPort() {
    return parts.peerServer().port();
  }

  /** Returns the port for operators. */
  public int operatorsPort() {
    return operators.port();
  }

  /** Returns the port for health and metrics. */
  public int httpPort() {
    return http.port();
  }

  /** Blocks until the controller is closed. */
  public void await() throws InterruptedException {
    stopped.await();
  }

  /** Stops the controller: releases its lease, leaves the membership, then closes the ports. */
  @Override
  public void close() {
    log.info("Controller {} is stopping.", settings.vm());
    seeder.close();
    parts.roller().close();
    parts.follower().close();
    parts.feed().close();
    parts.membership().close();
    operators.close();
    parts.claims().close();
    parts.kept().close();
    parts.peerServer().close();
    parts.peerClient().close();
    http.stop();
    parts.tls().close();
    stopped.countDown();
  }
}
