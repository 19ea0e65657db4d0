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
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.base.HttpServers;
import org.landingtrack.internal.dispatch.ServiceGates;
import org.landingtrack.internal.peer.Messages.MemberInfo;
import org.landingtrack.internal.settings.GatewaySettings;
import org.landingtrack.internal.wiring.ProcessModule;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running gateway. */
public final class GatewayProcess implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("gateway");
  private static final long SHARES_EVERY_MS = 500;

  private final GatewaySettings settings;
  private final GatewayComponent parts;
  private final Duty shares = Duty.start("shares", 4);
  private final Javalin http;
  private final TeamShares teamShares;
  private final Gauge running;
  private final Gauge waiting;
  private final Gauge limits;
  private final Gauge granted;
  private final CountDownLatch stopped = new CountDownLatch(1);

  private GatewayProcess(GatewaySettings settings, GatewayComponent parts) {
    this.settings = settings;
    this.parts = parts;
    parts
        .metrics()
        .gauge(
            "landingtrack_requests_in_flight",
            "Requests in flight.",
            () -> parts.inFlight().count());
    parts
        .metrics()
        .gauge(
            "landingtrack_config_revision", "Revision in force.", () -> parts.replica().revision());
    parts
        .metrics()
        .gauge(
            "landingtrack_leaving_servers",
            "Backend servers that the VM list says are leaving.",
            () -> parts.servers().leavingCount());
    this.teamShares = new TeamShares(settings.vm(), parts.limiter(), parts.peers());
    this.running = serviceGauge("running", "Requests of a service that run.");
    this.waiting = serviceGauge("waiting", "Requests of a service that wait for their turn.");
    this.granted =
        parts
            .metrics()
            .gauge(
                "landingtrack_team_share",
                "Granted part of a team's limit; without one it is equal.",
                "team");
    this.limits = serviceGauge("limit", "Requests of a service that may run at once.");
    this.http =
        HttpServers.start(
            settings.callersHost(),
            settings.callersPort(),
            settings.maxRequests(),
            settings.bodyTimeoutMs(),
            parts.metrics(),
            () -> parts.link().isReady() && !parts.inFlight().isClosed(),
            parts.callerApi()::addRoutes);
  }

  private Gauge serviceGauge(String name, String help) {
    return parts.metrics().gauge("landingtrack_service_" + name, help, "service");
  }

  /** Starts a gateway; it runs until it is closed. */
  public static GatewayProcess start(GatewaySettings settings) {
    GatewayComponent parts =
        DaggerGatewayComponent.builder()
            .processModule(new ProcessModule(settings.tls()))
            .gatewayModule(new GatewayModule(settings))
            .build();
    GatewayProcess process = new GatewayProcess(settings, parts);
    parts.link().start();
    process.shares.every(SHARES_EVERY_MS, process::updateShares);
    log.info("Gateway {} answers callers on {}.", settings.vm(), process.http.port());
    return process;
  }

  /** Every entry VM has one gateway and one controller, so the controllers count the gateways. */
  private void updateShares() {
    List<MemberInfo> controllers = parts.link().allControllers();
    parts.gates().sharedBy(Math.max(1, controllers.size()));
    teamShares.refresh(controllers);
    granted.clear();
    parts.limiter().grantedShares().forEach((team, part) -> granted.labelValues(team).set(part));
    parts.gates().state().forEach(this::report);
    parts.servers().leaving(parts.link().leaving());
    parts.servers().retain(parts.replica().catalog());
  }

  private void report(ServiceGates.State state) {
    running.labelValues(state.service()).set(state.running());
    waiting.labelValues(state.service()).set(state.waiting());
    limits.labelValues(state.service()).set(state.limit());
  }

  /** Returns the callers' port. */
  public int port() {
    return http.port();
  }

  /** Waits until the gateway is closed. */
  public void await() throws InterruptedException {
    stopped.await();
  }

  /** Stops as planned: no new work, running requests finish, then the port closes. */
  @Override
  public void close() {
    log.info("Gateway {} takes no new requests.", settings.vm());
    parts.inFlight().close();
    int left = 0;
    try {
      left = parts.inFlight().awaitEmpty(settings.stopGraceMs());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (left > 0) {
      log.warn("{} requests did not end in time.", left);
    }
    shares.close();
    parts.link().close();
    http.stop();
    parts.peers().close();
    parts.tls().close();
    log.info("Gateway {} stopped.", settings.vm());
    stopped.countDown();
  }
}
