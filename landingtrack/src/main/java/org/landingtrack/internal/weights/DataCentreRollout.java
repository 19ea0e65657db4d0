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
package org.landingtrack.internal.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Catalog.NamedBackendServer;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.catalog.Spec;
import org.landingtrack.internal.catalog.WeightVersion;
import org.landingtrack.internal.lease.Lease;
import org.landingtrack.internal.weights.RolloutPlanner.EngineState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings the engines of a data centre to the weight versions that are configured for their
 * services.
 *
 * <p>Only the holder of the data centre's lease sends orders, each with the lease's epoch as
 * fencing token. Engines that do not check fencing tokens get the first order of a lease term only
 * after the time in which an order of the previous holder could still be in flight. {@link #step}
 * runs on one thread of its own; the other public methods may be called from any thread.
 */
public final class DataCentreRollout implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("weights");
  private static final long STEP_MS = 500;

  /** Steps per lease renewal. The lease lasts for many more; each renewal makes two store calls. */
  private static final int STEPS_PER_RENEWAL = 3;

  /** A rollout without progress for so long counts as stalled and goes on one engine at a time. */
  private static final long STALL_TIMEOUT_MS = 10_000;

  /** Interval between checks of a service whose engines all have the configured version. */
  private static final long UP_TO_DATE_CHECK_INTERVAL_MS = 10_000;

  private final String dataCentre;
  private final BooleanSupplier isCandidate;
  private final Supplier<Catalog> catalog;
  private final Lease lease;
  private final EngineClient orders;
  private final Ticker ticker;
  private final BoundedWorker duty = BoundedWorker.start("weights", 4);
  private final Map<String, UpToDate> upToDateServices = new HashMap<>();
  private final Map<String, Progress> progressByService = new HashMap<>();
  private long steps;
  private long heldEpoch = -1;
  private long heldSinceMs;

  private record Progress(String version, long atMs) {}

  private record UpToDate(String version, int engines, long atMs) {}

  /**
   * Creates a roller.
   *
   * @param isCandidate whether this controller competes for the lease; only a few in a data centre
   *     do, so that the number of calls to the platform does not grow with the fleet
   */
  public DataCentreRollout(
      String dataCentre,
      BooleanSupplier isCandidate,
      Supplier<Catalog> catalog,
      Lease lease,
      EngineClient orders,
      Ticker ticker) {
    this.dataCentre = dataCentre;
    this.isCandidate = isCandidate;
    this.catalog = catalog;
    this.lease = lease;
    this.orders = orders;
    this.ticker = ticker;
  }

  /** Starts to check periodically for engines with another version. */
  public void start() {
    duty.runPeriodically(STEP_MS, this::step);
  }

  /** Runs one step: renews the lease and, while it is held, sends the next load orders. */
  void step() {
    if (!isCandidate.getAsBoolean()) {
      lease.release();
      heldEpoch = -1;
      return;
    }
    if (steps++ % STEPS_PER_RENEWAL == 0) {
      lease.acquireOrRenew();
    }
    OptionalLong epoch = lease.token();
    if (epoch.isEmpty()) {
      heldEpoch = -1;
      return;
    }
    if (heldEpoch != epoch.getAsLong()) {
      heldEpoch = epoch.getAsLong();
      heldSinceMs = ticker.millis();
      upToDateServices.clear();
    }
    int loads = 0;
    for (Map.Entry<String, Spec> entry : catalog.get().ofKind(Kind.SERVICE).entrySet()) {
      Service service = (Service) entry.getValue();
      if (service.isModel()) {
        loads += rollOut(entry.getKey(), service, loads);
      }
    }
  }

  /** Orders the next loads of a service and returns the number of its running loads. */
  private int rollOut(String name, Service service, int loadsElsewhere) {
    String target = service.weightVersion();
    List<NamedBackendServer> engines = localEngines(name);
    if (target == null || engines.isEmpty() || isUpToDate(name, target, engines.size())) {
      return 0;
    }
    List<EngineState> states = new ArrayList<>();
    Map<String, NamedBackendServer> byName = new HashMap<>();
    int loading = 0;
    boolean upToDate = true;
    for (NamedBackendServer engine : engines) {
      EngineState state = orders.state(engine.name(), engine.spec().address());
      states.add(state);
      byName.put(engine.name(), engine);
      loading += state.loading() ? 1 : 0;
      upToDate &= state.reachable() && state.version().equals(target) && !state.loading();
    }
    if (upToDate) {
      upToDateServices.put(name, new UpToDate(target, engines.size(), ticker.millis()));
      return 0;
    }
    boolean stalled = isStalled(name, target);
    RolloutPlanner.Conditions conditions =
        new RolloutPlanner.Conditions(engines.get(0).spec().maxConcurrent(), stalled);
    for (String next : RolloutPlanner.nextEngines(states, target, loadsElsewhere, conditions)) {
      NamedBackendServer engine = byName.get(next);
      if (engine != null && orderLoad(engine, target)) {
        loading++;
      }
    }
    if (loading > 0) {
      progressByService.put(name, new Progress(target, ticker.millis()));
    }
    return loading;
  }

  /**
   * Returns true if the rollout of a version has made no progress for {@link #STALL_TIMEOUT_MS}.
   */
  private boolean isStalled(String name, String target) {
    Progress known = progressByService.get(name);
    if (known == null || !known.version.equals(target)) {
      progressByService.put(name, new Progress(target, ticker.millis()));
      return false;
    }
    return ticker.millis() - known.atMs >= STALL_TIMEOUT_MS;
  }

  private List<NamedBackendServer> localEngines(String service) {
    List<NamedBackendServer> local = new ArrayList<>();
    for (NamedBackendServer server : catalog.get().servers(service)) {
      if (server.spec().dataCentre().equals(dataCentre)) {
        local.add(server);
      }
    }
    return local;
  }

  private boolean isUpToDate(String name, String target, int engines) {
    UpToDate known = upToDateServices.get(name);
    return known != null
        && known.version.equals(target)
        && known.engines == engines
        && ticker.millis() - known.atMs < UP_TO_DATE_CHECK_INTERVAL_MS;
  }

  private boolean orderLoad(NamedBackendServer engine, String target) {
    long handoverDelayMs = lease.handoverDelayMs(HttpEngineClient.CALL_TIMEOUT_MS);
    if (!engine.spec().checksFences() && ticker.millis() - heldSinceMs < handoverDelayMs) {
      return false;
    }
    // Check again right before the order: the lease may have been lost meanwhile.
    OptionalLong epoch = lease.token();
    if (epoch.isEmpty()) {
      return false;
    }
    String source =
        catalog
            .get()
            .find(Kind.WEIGHT_VERSION, target, WeightVersion.class)
            .map(WeightVersion::source)
            .orElse("");
    boolean accepted = orders.load(engine.spec().address(), target, source, epoch.getAsLong());
    if (accepted) {
      log.info("Engine {} loads weight version {}.", engine.name(), target);
    }
    return accepted;
  }

  /** Stops the rollout and releases the lease. */
  @Override
  public void close() {
    duty.close();
    lease.release();
  }
}
