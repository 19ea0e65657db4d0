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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests how many requests a server that stays cold gets from a fleet in which each VM sends as many
 * as it may.
 */
public final class ColdServersTest {
  private static final double OVERSHOOT = 1.5;
  private static final double TOLERANCE = 5;
  private static final int TICK_MS = 10;
  private static final int SECOND_TICKS = 1_000 / TICK_MS;
  private static final int SECONDS = 60;
  private static final long COLD_MS = 1_000_000_000;

  private static ServiceInfo service(double coldPerSecond) {
    return new ServiceInfo("s", "/health", 100, null, coldPerSecond, 3_000);
  }

  private static Backend cold() {
    Backend backend =
        new Backend(
            new ServerEntry("e", "s", "10.0.0.1:80", "dc-1", 8, false, COLD_MS, Map.of()), 0);
    backend.coldUntil(COLD_MS);
    return backend;
  }

  /** A VM with its own clock and its own view of the server. */
  private static final class Sender {
    private final ManualEventLoop loop = new ManualEventLoop();
    private final Backend backend = cold();
    private final ColdServers cold;

    Sender(int vms, SplittableRandom random) {
      loop.advance(random.nextLong(ColdServers.SLOT_MS));
      cold = new ColdServers(loop, () -> vms, OVERSHOOT, TOLERANCE, random.nextLong());
    }

    int sendAll(ServiceInfo service) {
      loop.advance(TICK_MS);
      int sent = 0;
      while (cold.maySend(backend, service)) {
        cold.sent(backend, service);
        sent++;
      }
      return sent;
    }
  }

  /** Number of VMs, and the requests per second that the server can take. */
  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      {1, 11.0}, {3, 11.0}, {7, 11.0}, {71, 11.0}, {620, 11.0}, {3, 2.0}, {71, 2.0}, {71, 100.0}
    };
  }

  @Test(dataProvider = "fleets")
  public void boundHoldsInEachSecondAndIsUsed(int vms, double coldPerSecond) {
    for (int seed = 0; seed < 3; seed++) {
      int[] sent = sentByTick(vms, coldPerSecond, new SplittableRandom(seed));
      int window = 0;
      long all = 0;
      for (int tick = 0; tick < sent.length; tick++) {
        window += sent[tick] - (tick >= SECOND_TICKS ? sent[tick - SECOND_TICKS] : 0);
        all += sent[tick];
        assertTrue(window <= coldPerSecond * OVERSHOOT + TOLERANCE, "seed " + seed + ": " + window);
      }
      double used = (double) all / SECONDS / coldPerSecond;
      assertTrue(used >= 1.0 / 3, "seed " + seed + ": used " + used);
    }
  }

  private static int[] sentByTick(int vms, double coldPerSecond, SplittableRandom random) {
    List<Sender> senders = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      senders.add(new Sender(vms, random));
    }
    ServiceInfo service = service(coldPerSecond);
    int[] sent = new int[SECONDS * SECOND_TICKS];
    for (int tick = 0; tick < sent.length; tick++) {
      for (Sender sender : senders) {
        sent[tick] += sender.sendAll(service);
      }
    }
    return sent;
  }

  @Test
  public void warmServerIsNotLimited() {
    ManualEventLoop loop = new ManualEventLoop();
    ColdServers limiter = new ColdServers(loop, () -> 1_000, 1, 0, 7);
    Backend warm = cold();
    loop.advance(COLD_MS);
    assertTrue(limiter.maySend(warm, service(1)));
    assertTrue(limiter.maySend(cold(), service(0)), "a service whose servers are never cold");
    assertEquals(limiter.passedOver(), 0);
  }

  /** The wait ends when the server is warm, or when this VM may have sent all waiting requests. */
  @Test
  public void waitEndsWithShareOrWarmServer() {
    ManualEventLoop loop = new ManualEventLoop();
    ColdServers limiter = new ColdServers(loop, () -> 10, OVERSHOOT, TOLERANCE, 7);
    Backend backend = cold();
    double rate = limiter.fleetRate(service(11)) / 10;
    assertEquals(limiter.waitMs(List.of(backend), service(11), 0), (long) (1_000 / rate));
    assertEquals(limiter.waitMs(List.of(backend), service(11), 4), (long) (5_000 / rate));
    loop.advance(COLD_MS - loop.millis() - 100);
    assertEquals(limiter.waitMs(List.of(backend), service(11), 4), 100);
  }
}
