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
import org.landingtrack.internal.overload.AdmissionDecision;
import org.landingtrack.internal.overload.AdmissionRequest;
import org.landingtrack.internal.overload.FleetAdmission;
import org.landingtrack.internal.overload.ServiceLoad;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * Connects the requests of this VM to {@link FleetAdmission}: asks it whether to admit them, and
 * gives it the demand and the load that this VM sees. Used on the event loop only.
 */
final class AdmissionControl implements ServiceLoad {
  private final ServingState state;
  private final RequestQueue waiting;
  private final boolean isEnabled;
  private final FleetAdmission admission;

  /**
   * Creates admission control for one VM.
   *
   * @param salt differs from VM to VM and from start to start
   * @param enabled false to admit everything, and to publish nothing about the requests of this VM
   */
  AdmissionControl(
      EventLoop loop,
      ServingState state,
      RequestQueue waiting,
      DecisionLog log,
      long salt,
      boolean enabled) {
    this.state = state;
    this.waiting = waiting;
    this.isEnabled = enabled;
    this.admission = new FleetAdmission(loop, salt, this, log::admissionChanged);
    if (enabled) {
      FleetTallies tallies = state.registerTallies(TallyTopic.SERVICES, admission::tallies);
      admission.peerTallies(tallies::others);
    }
  }

  /** Decides whether to admit a new request. Resumed streams are always admitted. */
  AdmissionDecision decide(RequestRun run, Route route, long leftMs) {
    CallerRequest request = run.request();
    boolean isResumed = request.resumeAfter() != null;
    if (!isEnabled || isResumed) {
      return AdmissionDecision.ADMITTED;
    }
    return admission.decide(
        new AdmissionRequest(
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
  boolean isEnabled() {
    return isEnabled;
  }

  /** Records a request that was sent to an engine; engines start requests at once. */
  void sent(RequestRun run) {
    if (isEnabled && hasEngines(run.service())) {
      admission.recordStart(run.service(), run.size());
    }
  }

  /**
   * Records a response. Servers other than engines queue requests, so only responses show how much
   * work they get done.
   */
  void responded(RequestRun run) {
    if (isEnabled && !hasEngines(run.service())) {
      admission.recordStart(run.service(), run.size());
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
    return config == null ? 0 : config.minTargetLatencyMs(service);
  }

  /** Counts requests queued at servers as the most urgent: they come before all queued here. */
  @Override
  public long queuedSize(String service, int rank) {
    long here =
        waiting.totalSize(run -> !run.isLate() && rank(run) == rank && belongsTo(run, service));
    return here + (rank == 0 ? queued(service) : 0);
  }

  @Override
  public long lateSize(String service) {
    return waiting.totalSize(run -> run.isLate() && belongsTo(run, service));
  }

  private static int rank(RequestRun run) {
    return Math.min(AdmissionRequest.LAST_RANK, run.rank());
  }

  private static boolean belongsTo(RequestRun run, String service) {
    return run.service().equals(service);
  }

  @Override
  public double utilization(String service) {
    ServiceInfo info = info(service);
    if (info == null || isPeerLoadUnknown(service)) {
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
    return isQueued
        ? RequestRun.PLAIN_REQUEST_SIZE * backend.inFlight() * (running - slots) / running
        : 0;
  }

  private long queued(Backend backend, EngineInfo engine) {
    long held = held(backend);
    long beyond = held - engine.kvCacheTokens();
    return beyond <= 0 ? 0 : backend.memoryTokensInUse() * beyond / held;
  }

  /**
   * Returns true if the service counts as full because the load of some VMs is unknown: then queued
   * requests here are the only sign of a shortage.
   */
  private boolean isPeerLoadUnknown(String service) {
    return state.peerLoads().unreportedVms() > 0
        && waiting.totalSize(run -> belongsTo(run, service)) > 0;
  }

  /**
   * Returns the used share of a server. One that set a rate limit counts as full: it takes no more
   * than that, however much of its capacity is free.
   */
  private double takenShare(Backend backend, ServiceInfo info) {
    if (state.serverLimits().find(backend.incarnationHash()) != null) {
      return 1;
    }
    int slots = backend.entry().slots();
    double slotShare = slots <= 0 ? 0 : (double) running(backend) / slots;
    if (info.engine() == null) {
      return slotShare;
    }
    return Math.max(slotShare, (double) held(backend) / Math.max(1, info.engine().kvCacheTokens()));
  }

  private long held(Backend backend) {
    return backend.memoryTokensInUse()
        + state.peerLoads().memoryTokensInUse(backend.incarnationHash());
  }

  private int running(Backend backend) {
    return backend.inFlight() + state.peerLoads().running(backend.incarnationHash());
  }
}
