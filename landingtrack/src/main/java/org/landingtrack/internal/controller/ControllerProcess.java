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
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.HttpServers;
import org.landingtrack.internal.caller.RequestIdGenerator;
import org.landingtrack.internal.membership.Member;
import org.landingtrack.internal.operator.OperatorServer;
import org.landingtrack.internal.operator.OperatorService;
import org.landingtrack.internal.operator.RolloutCounter;
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
  private static final long HTTP_IDLE_TIMEOUT_MS = 30_000;
  private static final long SEED_INTERVAL_MS = 1_000;
  private static final int CALL_TIMEOUT_MS = 1_000;

  private final ControllerSettings settings;
  private final ControllerComponent component;
  private final VmList vmList;
  private final BoundedWorker memberUpdater = BoundedWorker.start("seed", 4);
  private final OperatorServer operatorServer;
  private final Javalin httpServer;
  private final CountDownLatch stopped = new CountDownLatch(1);

  private ControllerProcess(ControllerSettings settings, ControllerComponent component) {
    this.settings = settings;
    this.component = component;
    this.vmList = new HttpVmList(settings.vmList());
    component.peerHandlers().registerWith(component.peerServer());
    OperatorService service =
        new OperatorService(
            component.objectApi(),
            component.catalogWriter(),
            component.replica(),
            component.membership(),
            component.objectApi()::reachable,
            this::countInForce,
            this::findExplanation);
    this.operatorServer =
        OperatorServer.open(
            settings.host(),
            settings.operatorsPort(),
            service,
            settings.operators(),
            component.tls().identity());
    addMetrics();
    this.httpServer =
        HttpServers.start(
            settings.host(),
            settings.httpPort(),
            HTTP_THREADS,
            HTTP_IDLE_TIMEOUT_MS,
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
    process.updateMembers();
    process.memberUpdater.runPeriodically(SEED_INTERVAL_MS, process::updateMembers);
    component.configFeed().start();
    component.feedFollower().start();
    component.dataCentreRollout().start();
    log.info(
        "Controller {} listens on port {} for peers, {} for operators and {} for HTTP.",
        settings.vm(),
        component.peerServer().port(),
        process.operatorServer.port(),
        process.httpServer.port());
    return process;
  }

  private void addMetrics() {
    var metrics = component.metrics();
    metrics.gauge(
        "landingtrack_config_revision",
        "Revision of the configuration in force.",
        () -> component.replica().revision());
    metrics.gauge(
        "landingtrack_members",
        "Controllers that count as usable members.",
        () -> component.membership().usable().size());
    metrics.gauge(
        "landingtrack_directory_groups",
        "Prompt groups in the prefix directory.",
        () -> component.prefixDirectory().size());
    metrics.gauge(
        "landingtrack_followed_servers",
        "Backend servers whose cache events this controller follows.",
        () -> component.feedFollower().followedServers());
    metrics.gauge(
        "landingtrack_platform_reachable",
        "1 while the Object API answers, otherwise 0.",
        () -> component.objectApi().reachable() ? 1 : 0);
  }

  /**
   * Updates the known controllers and the leaving backend servers. Only the controllers that watch
   * the platform read the VM list; the others ask their parent, so that the load on the VM list
   * does not grow with the fleet. A controller that knows no other one also asks the configured
   * seeds.
   */
  private void updateMembers() {
    List<Member> found = new ArrayList<>();
    Optional<Member> parent = component.configFeed().parent();
    if (parent.isPresent()) {
      found.addAll(queryMembers(parent.get().address()));
    } else if (!settings.vmList().isEmpty()) {
      found.addAll(readVmList());
    }
    if (component.membership().usable().size() <= 1) {
      for (String address : settings.seeds()) {
        found.addAll(queryMembers(address));
      }
    }
    found.removeIf(member -> member.vm().equals(settings.vm()));
    component.membership().seed(found);
  }

  private List<Member> readVmList() {
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
      component.leavingServers().set(leaving);
    } catch (PlatformException e) {
      log.debug("The VM list cannot be read: {}.", e.getMessage());
    }
    return members;
  }

  private List<Member> queryMembers(String address) {
    List<Member> members = new ArrayList<>();
    try {
      MembersAnswer answer =
          component
              .peerClient()
              .call(address, new MembersQuery(), MembersAnswer.class, CALL_TIMEOUT_MS);
      if (component.configFeed().parent().isPresent()) {
        component.leavingServers().set(answer.leaving());
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
  private RolloutCounter.Count countInForce(long revision) {
    Map<String, Long> revisions = new HashMap<>();
    for (Member member : component.membership().usable()) {
      try {
        InForceAnswer answer =
            component
                .peerClient()
                .call(member.address(), new InForceQuery(), InForceAnswer.class, CALL_TIMEOUT_MS);
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
    return new RolloutCounter.Count(inForce, revisions.size());
  }

  /**
   * Returns the explanation of a request from this controller, else from the controller of the VM
   * that the request id names, else from any other one.
   */
  private List<String> findExplanation(String requestId) {
    List<String> localSentences = component.explanationStore().find(requestId);
    if (!localSentences.isEmpty()) {
      return localSentences;
    }
    String vm = RequestIdGenerator.vmOf(requestId);
    List<Member> members = new ArrayList<>(component.membership().usable());
    members.sort(Comparator.comparing((Member member) -> !member.vm().equals(vm)));
    for (Member member : members) {
      if (member.vm().equals(settings.vm())) {
        continue;
      }
      try {
        List<String> sentences =
            component
                .peerClient()
                .call(
                    member.address(),
                    new ExplainQuery(requestId),
                    ExplainAnswer.class,
                    CALL_TIMEOUT_MS)
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
    return component.peerServer().port();
  }

  /** Returns the port for operators. */
  public int operatorsPort() {
    return operatorServer.port();
  }

  /** Returns the port for health and metrics. */
  public int httpPort() {
    return httpServer.port();
  }

  /** Blocks until the controller is closed. */
  public void await() throws InterruptedException {
    stopped.await();
  }

  /** Stops the controller: releases its lease, leaves the membership, then closes the ports. */
  @Override
  public void close() {
    log.info("Controller {} is stopping.", settings.vm());
    memberUpdater.close();
    component.dataCentreRollout().close();
    component.feedFollower().close();
    component.configFeed().close();
    component.membership().close();
    operatorServer.close();
    component.claimShards().close();
    component.kvCacheExporter().close();
    component.peerServer().close();
    component.peerClient().close();
    httpServer.stop();
    component.tls().close();
    stopped.countDown();
  }
}
