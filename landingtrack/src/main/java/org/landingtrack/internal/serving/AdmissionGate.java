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

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.FleetTallies;
import org.landingtrack.internal.loads.TallyTopic;
import org.landingtrack.internal.overload.Applicant;
import org.landingtrack.internal.overload.FleetAdmission;
import org.landingtrack.internal.overload.ServiceView;
import org.landingtrack.internal.overload.Verdict;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * Connects the requests of this VM to {@link FleetAdmission}: asks it whether to admit them, and
 * gives it the demand and the load that this VM sees. Used on the event loop only.
 */
final class AdmissionGate implements ServiceView {
  private final ServingState state;
  private final WaitingRuns waiting;
  private final boolean isOn;
  private final FleetAdmission admission;

  /**
   * Creates admission control for one VM.
   *
   * @param salt differs from VM to VM and from start to start
   * @param enabled false to admit everything, and to publish nothing about the requests of this VM
   */
  AdmissionGate(
      EventLoop loop,
      ServingState state,
      WaitingRuns waiting,
      DecisionLog log,
      long salt,
      boolean enabled) {
    this.state = state;
    this.waiting = waiting;
    this.isOn = enabled;
    this.admission = new FleetAdmission(loop, salt, this, log::admission);
    if (enabled) {
      FleetTallies tallies = state.tally(TallyTopic.SERVICES, admission::tallies);
      admission.others(tallies::others);
    }
  }

  /** Decides whether to admit a new request. Resumed streams are always admitted. */
  Verdict decide(RequestRun run, Route route, long leftMs) {
    CallerRequest request = run.request();
    boolean isResumed = request.resumeAfter() != null;
    if (!isOn || isResumed) {
      return Verdict.ADMITTED;
    }
    return admission.decide(
        new Applicant(
            request.id(),
            run.service(),
            route.name(),
            run.teamName(),
            run.rank(),
            run.size(),
            request.deadlineMs(),
            leftMs));
  }

  /**
   * Returns true if admission control is on. Requests that it admitted stay queued, whatever wait
   * this VM expects for them.
   */
  boolean isOn() {
    return isOn;
  }

  /** Records a request that was sent to an engine; engines start requests at once. */
  void sent(RequestRun run) {
    if (isOn && hasEngines(run.service())) {
      admission.began(run.service(), run.size());
    }
  }

  /**
   * Records a response. Servers other than engines queue requests, so only responses show how much
   * work they get done.
   */
  void answered(RequestRun run) {
    if (isOn && !hasEngines(run.service())) {
      admission.began(run.service(), run.size());
    }
  }

  private boolean hasEngines(String service) {
    ServiceInfo info = info(service);
    return info != null && info.engine() != null;
  }

  private @Nullable ServiceInfo info(String service) {
    ServingConfig config = state.config();
    return config == null ? null : config.service(service);
  }

  FleetAdmission admission() {
    return admission;
  }

  @Override
  public long targetMs(String service) {
    ServingConfig config = state.config();
    return config == null ? 0 : config.leastTargetMs(service);
  }

  /** Counts requests queued at servers as the most urgent: they come before all queued here. */
  @Override
  public long waiting(String service, int rank) {
    long here = waiting.sizes(run -> !run.isLate() && rank(run) == rank && isOf(run, service));
    return here + (rank == 0 ? queued(service) : 0);
  }

  @Override
  public long late(String service) {
    return waiting.sizes(run -> run.isLate() && isOf(run, service));
  }

  private static int rank(RequestRun run) {
    return Math.min(Applicant.LAST_RANK, run.rank());
  }

  private static boolean isOf(RequestRun run, String service) {
    return run.service().equals(service);
  }

  @Override
  public double takenShare(String service) {
    ServiceInfo info = info(service);
    if (info == null || isBlind(service)) {
      return info == null ? 0 : 1;
    }
    double sum = 0;
    List<Backend> servers = servers(service);
    for (Backend backend : servers) {
      sum += Math.min(1, takenShare(backend, info));
    }
    return servers.isEmpty() ? 0 : sum / servers.size();
  }

  private List<Backend> servers(String service) {
    return state.servers().usable(service, each -> true, false);
  }

  /**
   * Returns how many of this VM's requests exceed the slots or the KV cache of the servers to which
   * they were sent.
   */
  private long queued(String service) {
    ServiceInfo info = info(service);
    if (info == null) {
      return 0;
    }
    long queued = 0;
    for (Backend backend : servers(service)) {
      queued += info.engine() == null ? queued(backend) : queued(backend, info.engine());
    }
    return queued;
  }

  private long queued(Backend backend) {
    long running = running(backend);
    long slots = backend.entry().slots();
    boolean isQueued = slots > 0 && running > slots;
    return isQueued ? RequestRun.PLAIN_SIZE * backend.inFlight() * (running - slots) / running : 0;
  }

  private long queued(Backend backend, EngineInfo engine) {
    long held = held(backend);
    long beyond = held - engine.cacheTokens();
    return beyond <= 0 ? 0 : backend.heldTokens() * beyond / held;
  }

  /**
   * Returns true if the service counts as full because the load of some VMs is unknown: then queued
   * requests here are the only sign of a shortage.
   */
  private boolean isBlind(String service) {
    return state.peerLoads().unheardVms() > 0 && waiting.sizes(run -> isOf(run, service)) > 0;
  }

  /**
   * Returns the used share of a server. One that set a rate limit counts as full: it takes no more
   * than that, however much of its capacity is free.
   */
  private double takenShare(Backend backend, ServiceInfo info) {
    if (state.limits().find(backend.startHash()) != null) {
      return 1;
    }
    int slots = backend.entry().slots();
    double slotShare = slots <= 0 ? 0 : (double) running(backend) / slots;
    if (info.engine() == null) {
      return slotShare;
    }
    return Math.max(slotShare, (double) held(backend) / Math.max(1, info.engine().cacheTokens()));
  }

  private long held(Backend backend) {
    return backend.heldTokens() + state.peerLoads().heldTokens(backend.startHash());
  }

  private int running(Backend backend) {
    return backend.inFlight() + state.peerLoads().running(backend.startHash());
  }
}
