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

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.landingtrack.internal.loads.FleetTallies;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.Tally;
import org.landingtrack.internal.loads.TallyReport;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.landingtrack.internal.serving.BackendTransport.ResponseHead;
import org.landingtrack.internal.serving.BackpressureFleet.Fault;
import org.landingtrack.internal.serving.BackpressureFleet.Server;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which outcomes of requests count as faults of a server, and that VMs eject by shared
 * counts.
 */
public final class SharedHealthTest {
  private static final int VMS = 9;
  private static final int SERVERS = 6;
  private static final double PER_SECOND = 100;

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {{Fault.ANSWERS_500}, {Fault.BREAKS_OFF}, {Fault.HANGS}};
  }

  /**
   * Guards against VMs that judge servers only by themselves: they never ejected a server that
   * answers 500, and a hanging one only after requests had run into their deadlines.
   */
  @Test(dataProvider = "faults")
  public void aServerThatFailsTwoInFiveIsEjectedAndComesBack(Fault fault) {
    BackpressureFleet fleet = new BackpressureFleet(VMS, SERVERS, 1);
    fleet.run(2_000, PER_SECOND);
    Server server = busiest(fleet);
    server.failureShare = 0.4;
    server.fault = fault;
    fleet.run(fleet.now() + 4_000, PER_SECOND);
    assertEquals(fleet.countEjecting(server), VMS);
    server.failureShare = 0;
    fleet.run(fleet.now() + 12_000, PER_SECOND);
    assertEquals(fleet.countEjecting(server), 0);
    assertTrue(server.arrivedBetween(fleet.now() - 2_000, fleet.now()) > 10);
  }

  @Test
  public void aSlowServerIsEjected() {
    BackpressureFleet fleet = new BackpressureFleet(VMS, SERVERS, 2);
    fleet.run(4_000, PER_SECOND);
    Server server = busiest(fleet);
    server.slowdownFactor = 8;
    fleet.run(fleet.now() + 4_000, PER_SECOND);
    assertEquals(fleet.countEjecting(server), VMS);
  }

  /**
   * Probes of a hanging server always fail, and each request used as a probe is sent to another
   * server in time.
   */
  @Test
  public void probesOfAServerFailNoRequests() {
    BackpressureFleet fleet = new BackpressureFleet(VMS, SERVERS, 3);
    fleet.run(2_000, PER_SECOND);
    Server server = busiest(fleet);
    server.failureShare = 1;
    server.fault = Fault.HANGS;
    fleet.run(fleet.now() + 3_000, PER_SECOND);
    int lostBefore = fleet.failedCount();
    int failuresBefore = server.failures.size();
    fleet.run(fleet.now() + 15_000, PER_SECOND);
    assertTrue(server.failures.size() > failuresBefore, "no request probed the server");
    assertEquals(fleet.failedCount(), lostBefore);
  }

  private static Server busiest(BackpressureFleet fleet) {
    return IntStream.range(0, SERVERS)
        .mapToObj(fleet::server)
        .max(Comparator.comparingInt(server -> server.arrivals.size()))
        .orElseThrow();
  }

  @Test
  public void outcomesThatAreNoFaultOfTheServerDoNotCount() {
    ServingFixture world = new ServingFixture();
    for (NotRunReason reason : NotRunReason.values()) {
      if (reason != NotRunReason.NO_CONNECTION) {
        world.serve("/safe/x");
        world.transport.last().listener.notRun(reason, "test");
      }
    }
    world.serve("/never/x");
    world.transport.last().answer(503, "full");
    world
        .serving
        .serve(world.request("/safe/x", ServingFixture.KEY), new RecordingSink())
        .callerDisconnected();
    assertEquals(faults(world), 0);
  }

  @Test
  public void failuresOfAServerCount() {
    ServingFixture world = new ServingFixture();
    world.serve("/never/x");
    world.transport.last().answer(500, "failed");
    assertEquals(faults(world), 1);
    world.serve("/never/x");
    world.transport.last().listener.outcomeUnknown("reset");
    assertEquals(faults(world), 2);
  }

  /** The first event of a stream counts as its response; a connection lost later is a failure. */
  @Test
  public void streamsCountByTheirFirstEventAndTheirEnd() {
    ServingFixture world = new ServingFixture();
    world.serve("/chat/x");
    FakeTransport.Sent sent = world.transport.last();
    sent.listener.head(new ResponseHead(200, List.of(), true, OptionalLong.empty()));
    sent.event("1");
    assertEquals(faults(world), 0);
    sent.listener.outcomeUnknown("reset");
    assertEquals(faults(world), 1);
  }

  /** Returns the faults of servers that this VM reports: the first count of each server's tally. */
  private static long faults(ServingFixture world) {
    long faults = 0;
    List<Long> starts =
        world.book.incarnationsByService().stream()
            .flatMap(each -> each.incarnations().stream())
            .toList();
    for (TallyReport news : FleetTallies.createReports(Kind.OWN, world.state.tallies())) {
      for (Tally tally : news.tallies()) {
        faults += starts.contains(tally.key()) ? tally.count(0) : 0;
      }
    }
    return faults;
  }
}
