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

import io.javalin.Javalin;
import io.prometheus.metrics.core.metrics.Gauge;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.HttpServers;
import org.landingtrack.internal.dispatch.ServiceLimiters;
import org.landingtrack.internal.peer.Messages.MemberInfo;
import org.landingtrack.internal.settings.GatewaySettings;
import org.landingtrack.internal.wiring.ProcessModule;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running gateway: accepts requests of callers and sends them to backend servers, with the
 * configuration that it replicates from the controllers. Thread-safe.
 */
public final class GatewayProcess implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("gateway");
  private static final long UPDATE_INTERVAL_MS = 500;

  private final GatewaySettings settings;
  private final GatewayComponent component;
  private final BoundedWorker updater = BoundedWorker.start("shares", 4);
  private final Javalin httpServer;
  private final TeamShareClient teamShareClient;
  private final Gauge runningGauge;
  private final Gauge waitingGauge;
  private final Gauge limitGauge;
  private final Gauge grantedShareGauge;
  private final CountDownLatch stopped = new CountDownLatch(1);

  private GatewayProcess(GatewaySettings settings, GatewayComponent component) {
    this.settings = settings;
    this.component = component;
    component
        .metrics()
        .gauge(
            "landingtrack_requests_in_flight",
            "Requests of callers that are in flight.",
            () -> component.inFlight().count());
    component
        .metrics()
        .gauge(
            "landingtrack_config_revision",
            "Revision of the configuration in force.",
            () -> component.replica().revision());
    component
        .metrics()
        .gauge(
            "landingtrack_leaving_servers",
            "Backend servers that the VM list says are leaving.",
            () -> component.serverTable().leavingCount());
    this.teamShareClient =
        new TeamShareClient(settings.vm(), component.teamLimiter(), component.peerClient());
    this.runningGauge = serviceGauge("running", "Running requests of a service.");
    this.waitingGauge = serviceGauge("waiting", "Requests of a service that wait in its queue.");
    this.grantedShareGauge =
        component
            .metrics()
            .gauge(
                "landingtrack_team_share",
                "Share of a team's limit granted to this gateway; without a grant it is equal.",
                "team");
    this.limitGauge = serviceGauge("limit", "Concurrency limit of a service at this gateway.");
    this.httpServer =
        HttpServers.start(
            settings.callersHost(),
            settings.callersPort(),
            settings.maxConcurrentRequests(),
            settings.bodyTimeoutMs(),
            component.metrics(),
            () -> component.controllerLink().isReady() && !component.inFlight().isClosed(),
            component.callerApi()::addRoutes);
  }

  private Gauge serviceGauge(String name, String help) {
    return component.metrics().gauge("landingtrack_service_" + name, help, "service");
  }

  /** Starts a gateway; it runs until it is closed. */
  public static GatewayProcess start(GatewaySettings settings) {
    GatewayComponent component =
        DaggerGatewayComponent.builder()
            .processModule(new ProcessModule(settings.tls()))
            .gatewayModule(new GatewayModule(settings))
            .build();
    GatewayProcess process = new GatewayProcess(settings, component);
    component.controllerLink().start();
    process.updater.runPeriodically(UPDATE_INTERVAL_MS, process::updateFromControllers);
    log.info(
        "Gateway {} listens on port {} for callers.", settings.vm(), process.httpServer.port());
    return process;
  }

  /**
   * Updates the state that depends on the controllers: this gateway's shares of limits with their
   * metrics, the leaving backend servers, and the servers that are no longer in the catalog. Each
   * entry VM runs one gateway and one controller, so the number of controllers is also the number
   * of gateways.
   */
  private void updateFromControllers() {
    List<MemberInfo> controllers = component.controllerLink().allControllers();
    component.serviceLimiters().setGatewayCount(Math.max(1, controllers.size()));
    teamShareClient.update(controllers);
    grantedShareGauge.clear();
    component
        .teamLimiter()
        .grantedShares()
        .forEach((team, share) -> grantedShareGauge.labelValues(team).set(share));
    component.serviceLimiters().queueStates().forEach(this::updateGauges);
    component.serverTable().leaving(component.controllerLink().leavingServers());
    component.serverTable().retain(component.replica().catalog());
  }

  private void updateGauges(ServiceLimiters.QueueState state) {
    runningGauge.labelValues(state.service()).set(state.running());
    waitingGauge.labelValues(state.service()).set(state.waiting());
    limitGauge.labelValues(state.service()).set(state.limit());
  }

  /** Returns the port that callers connect to. */
  public int port() {
    return httpServer.port();
  }

  /** Blocks until the gateway is closed. */
  public void await() throws InterruptedException {
    stopped.await();
  }

  /**
   * Stops the gateway gracefully: refuses new requests, waits for the requests in flight, as long
   * as the settings allow, then closes the port.
   */
  @Override
  public void close() {
    log.info("Gateway {} is stopping and refuses new requests.", settings.vm());
    component.inFlight().close();
    int unfinished = 0;
    try {
      unfinished = component.inFlight().awaitEmpty(settings.stopGraceMs());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (unfinished > 0) {
      log.warn("{} requests did not end within the grace period of the stop.", unfinished);
    }
    updater.close();
    component.controllerLink().close();
    httpServer.stop();
    component.peerClient().close();
    component.tls().close();
    log.info("Gateway {} stopped.", settings.vm());
    stopped.countDown();
  }
}
