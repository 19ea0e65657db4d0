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
package org.landingtrack.internal.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.landingtrack.internal.health.HealthFleet.EntryVm;
import org.landingtrack.internal.health.HealthFleet.Fault;
import org.landingtrack.internal.health.HealthFleet.Server;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests shared ejection in a simulated fleet, in most tests one whose VMs exchange tallies through
 * hubs. Guards against ejection by each VM alone after three failures in a row: a server that
 * failed everything cost hundreds of requests, and one that failed two in five or was slow was
 * never ejected.
 */
public final class HealthFleetTest {
  private static final int VMS = 74;
  private static final int SERVERS = 63;
  private static final double REQUESTS_PER_SECOND = 423;

  /**
   * Time within which all VMs have ejected a server that one of them ejected, or have reinstated
   * one that answered a probe.
   */
  private static final long MAX_SPREAD_MS = 1_000;

  private static final int MAX_FAILURES = 10;

  /**
   * Time within which a recovered server is reinstated: the longest probe delay, 8 s, and some
   * turns of VMs.
   */
  private static final long MAX_REINSTATEMENT_MS = 10_000;

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{0}, {1}, {2}, {3}};
  }

  @Test(dataProvider = "seeds")
  public void allVmsEjectAFaultyServerSoon(int seed) {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 1, seed);
    expectEjected(fleet, fleet.servers.get(0), 1, Fault.ANSWERS_500, 1);
    expectEjected(fleet, fleet.servers.get(1), 1, Fault.HANGS, 1);
    expectEjected(fleet, fleet.servers.get(2), 0.4, Fault.ANSWERS_500, 1);
    expectEjected(fleet, fleet.servers.get(3), 0.4, Fault.HANGS, 1);
    expectEjected(fleet, fleet.servers.get(4), 0, Fault.HANGS, 8);
    for (Server healthy : fleet.servers.subList(5, SERVERS)) {
      assertEquals(fleet.countEjections(healthy), 0);
    }
  }

  private static void expectEjected(
      HealthFleet fleet, Server server, double failureRate, Fault fault, int slowdown) {
    server.failureRate = failureRate;
    server.fault = fault;
    server.slowdown = slowdown;
    while (fleet.countEjectingVms(server) == 0 && server.failures <= MAX_FAILURES) {
      fleet.loop.advance(10);
    }
    long spreadMs = fleet.runUntil(server, true, MAX_SPREAD_MS);
    String details = fault + " " + failureRate + ", slow " + slowdown + ": " + server.failures;
    assertTrue(spreadMs >= 0, details);
    assertTrue(server.failures <= MAX_FAILURES, details);
  }

  @Test
  public void aRecoveredServerIsReinstatedAfterFewProbes() {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 1, 7);
    Server server = fleet.servers.get(7);
    server.failureRate = 1;
    assertTrue(fleet.runUntil(server, true, 5_000) >= 0);
    int before = server.failures;
    fleet.loop.advance(20_000);
    // Probes come after 1, 2, 4 and 8 s, each from at most two VMs that do not know of each other.
    assertTrue(server.probes >= 2 && server.probes <= 8, "probes " + server.probes);
    assertTrue(server.failures - before <= 8 + VMS / 10, "failures " + server.failures);
    server.failureRate = 0;
    assertTrue(fleet.runUntil(server, false, MAX_REINSTATEMENT_MS) >= 0);
    int ejections = fleet.countEjections(server);
    fleet.loop.advance(5_000);
    assertEquals(
        fleet.countEjections(server), ejections, "earlier outcomes must not eject it again");
  }

  @Test
  public void aServerWithAShortFaultIsNotEjectedAgain() {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 1, 17);
    Server server = fleet.servers.get(17);
    server.failureRate = 1;
    assertTrue(fleet.runUntil(server, true, 5_000) >= 0);
    server.failureRate = 0;
    assertTrue(fleet.runUntil(server, false, MAX_REINSTATEMENT_MS) >= 0);
    int ejections = fleet.countEjections(server);
    fleet.loop.advance(5_000);
    assertEquals(
        fleet.countEjections(server), ejections, "earlier outcomes must not eject it again");
  }

  @Test
  public void aFlappingServerIsProbedLessAndLess() {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 1, 8);
    Server server = fleet.servers.get(8);
    for (int outage = 0; outage < 10; outage++) {
      server.failureRate = 1;
      fleet.loop.advance(2_000);
      server.failureRate = 0;
      fleet.loop.advance(2_000);
    }
    // Without ejection some 13 requests fail in each of the ten outages.
    assertTrue(server.failures <= 65, "failures " + server.failures);
    assertTrue(fleet.runUntil(server, false, MAX_REINSTATEMENT_MS) >= 0);
  }

  @Test
  public void ejectionsOfAFailedServiceStayWithinTheLimit() {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 1, 9);
    for (Server server : fleet.servers) {
      server.failureRate = 1;
    }
    for (int i = 0; i < 50; i++) {
      fleet.loop.advance(100);
      expectLimit(fleet);
    }
  }

  @DataProvider
  public Object[][] parts() {
    return new Object[][] {{SERVERS / 2, Fault.HANGS}, {25, Fault.ANSWERS_500}};
  }

  @Test(dataProvider = "parts")
  public void ejectionsOfAPartlyFailedServiceStayWithinTheLimit(int failing, Fault fault) {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 1, 10);
    for (Server server : fleet.servers.subList(0, failing)) {
      server.failureRate = 1;
      server.fault = fault;
    }
    for (int i = 0; i < 100; i++) {
      fleet.loop.advance(100);
      expectLimit(fleet);
    }
  }

  private static void expectLimit(HealthFleet fleet) {
    for (EntryVm vm : fleet.vms) {
      assertTrue(vm.health.ejectedCount() <= SERVERS / 3, "ejected " + vm.health.ejectedCount());
    }
  }

  /** A VM whose link is down sees all servers fail. Here a third of the VMs do at once. */
  @Test
  public void vmsWithoutNetworkEjectNoServer() {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 3, 11);
    for (EntryVm vm : fleet.vms.subList(0, VMS / 3)) {
      vm.unreachable = server -> true;
    }
    fleet.loop.advance(10_000);
    expectNoEjections(fleet);
  }

  /** Half of the VMs can't reach the servers of a data centre, which are healthy for the others. */
  @Test
  public void vmsPartitionedFromSomeServersEjectNone() {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 1, 16);
    List<Server> missed = fleet.servers.subList(0, 30);
    for (EntryVm vm : fleet.vms.subList(0, VMS / 2)) {
      vm.unreachable = missed::contains;
    }
    fleet.loop.advance(10_000);
    expectNoEjections(fleet);
  }

  @Test
  public void aPausedOrPartitionedVmEjectsNoServer() {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 3, 12);
    for (int i = 0; i < 10; i++) {
      fleet.vms.get(i).vm.suspend(3_000);
      fleet.vms.get(10 + i).vm.partition(3_000, 0);
    }
    fleet.loop.advance(10_000);
    expectNoEjections(fleet);
  }

  private static void expectNoEjections(HealthFleet fleet) {
    for (Server server : fleet.servers) {
      assertEquals(fleet.countEjections(server), 0);
    }
  }

  @Test
  public void aRestartedVmAdoptsEjections() {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 1, 13);
    Server server = fleet.servers.get(13);
    server.failureRate = 1;
    assertTrue(fleet.runUntil(server, true, 5_000) >= 0);
    fleet.loop.advance(5_000);
    EntryVm vm = fleet.vms.get(20);
    vm.restart();
    fleet.loop.advance(MAX_SPREAD_MS);
    assertTrue(vm.health.isEjected(server.incarnation));
    server.failureRate = 0;
    assertTrue(fleet.runUntil(server, false, MAX_REINSTATEMENT_MS) >= 0);
  }

  @Test
  public void aPartitionedVmReinstatesAServerAlone() {
    HealthFleet fleet = new HealthFleet(VMS, SERVERS, REQUESTS_PER_SECOND, 1, 14);
    Server server = fleet.servers.get(14);
    server.failureRate = 1;
    assertTrue(fleet.runUntil(server, true, 5_000) >= 0);
    EntryVm vm = fleet.vms.get(30);
    vm.vm.partition(60_000, 0);
    server.failureRate = 0;
    fleet.loop.advance(2 * MAX_REINSTATEMENT_MS);
    assertTrue(!vm.health.isEjected(server.incarnation));
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{1, 3}, {2, 3}, {3, 3}, {9, 5}, {20, 12}};
  }

  @Test(dataProvider = "fleets")
  public void smallFleetsEjectAFaultyServerToo(int vms, int servers) {
    HealthFleet fleet = new HealthFleet(vms, servers, 20 * servers, 1, 15);
    Server server = fleet.servers.get(1);
    server.failureRate = 0.4;
    assertTrue(fleet.runUntil(server, true, 5_000) >= 0);
    server.failureRate = 0;
    assertTrue(fleet.runUntil(server, false, MAX_REINSTATEMENT_MS) >= 0);
  }
}
