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

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.landingtrack.internal.health.HealthPolicy.Outlier;
import org.landingtrack.internal.health.HealthPolicy.Server;
import org.testng.annotations.Test;

/** Tests which servers are ejected for given outcomes of all VMs. */
public final class HealthPolicyTest {
  private static final int FLEETS = 1_000;
  private static final long RUN_MS = 10_000;
  private static final long STEP_MS = 50;

  private static Evidence evidence(long total, long failures, long slow) {
    Outcomes outcomes = new Outcomes(total, failures, slow);
    return new Evidence(outcomes, outcomes);
  }

  private static List<Outlier> detect(List<Evidence> servers) {
    List<Server> list = new ArrayList<>();
    Evidence all = Evidence.NONE;
    for (int i = 0; i < servers.size(); i++) {
      list.add(new Server(i, servers.get(i)));
      all = all.plus(servers.get(i));
    }
    return HealthPolicy.detect(list, all, HealthPolicy.maxEjections(servers.size()));
  }

  private static List<Long> ejected(Evidence... servers) {
    return detect(List.of(servers)).stream()
        .map(outlier -> outlier.server().incarnation())
        .toList();
  }

  @Test
  public void fewFailuresAreEnoughWhereOthersHaveNone() {
    Evidence healthy = evidence(20, 0, 0);
    assertEquals(ejected(healthy, evidence(4, 4, 0), healthy), List.of(1L));
    assertEquals(ejected(healthy, evidence(11, 5, 0), healthy), List.of(1L));
    assertEquals(ejected(healthy, evidence(3, 3, 0), healthy), List.of());
    assertEquals(ejected(healthy, evidence(20, 3, 0), healthy), List.of());
    assertEquals(ejected(healthy, evidence(6, 0, 6), healthy), List.of(1L));
  }

  @Test
  public void baselineFaultsEjectNoServer() {
    Evidence usual = evidence(100, 30, 60);
    assertEquals(ejected(usual, evidence(100, 40, 80), usual, usual), List.of());
    assertEquals(ejected(usual, evidence(100, 90, 60), usual, usual), List.of(1L));
  }

  @Test
  public void theWorstAreEjectedFirstUpToTheLimit() {
    Evidence healthy = evidence(50, 0, 0);
    Evidence bad = evidence(50, 30, 0);
    Evidence worst = evidence(50, 50, 0);
    assertEquals(ejected(healthy, bad, worst, healthy, healthy), List.of(2L));
    assertEquals(ejected(healthy, bad, worst, healthy, healthy, healthy), List.of(2L, 1L));
    assertEquals(ejected(healthy, worst), List.of(), "no ejection among two servers");
  }

  /** A server that has just begun to fail still has earlier successes in the long window. */
  @Test
  public void theShortWindowAloneSuffices() {
    Evidence healthy = evidence(100, 0, 0);
    Evidence turned = new Evidence(new Outcomes(6, 5, 0), new Outcomes(40, 5, 0));
    assertEquals(ejected(healthy, healthy, turned), List.of(2L));
  }

  /**
   * Random fleets and loads, where each server fails one request in a hundred by chance, and is
   * slow with one in a hundred.
   */
  @Test
  public void noHealthyServerIsEjected() {
    for (int seed = 0; seed < FLEETS; seed++) {
      Random random = new Random(seed);
      int servers = 3 + random.nextInt(61);
      double[] perStep = new double[servers];
      List<RecentOutcomes> recent = new ArrayList<>();
      for (int i = 0; i < servers; i++) {
        perStep[i] = (1 + 40 * random.nextDouble() * random.nextDouble()) * STEP_MS / 1_000;
        recent.add(new RecentOutcomes());
      }
      for (long now = 0; now < RUN_MS; now += STEP_MS) {
        List<Evidence> evidence = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
          for (int remaining = drawRequestCount(random, perStep[i]); remaining > 0; remaining--) {
            addRandomOutcome(random, recent.get(i), now);
          }
          evidence.add(recent.get(i).toEvidence(now));
        }
        assertTrue(detect(evidence).isEmpty(), "seed " + seed + " at " + now);
      }
    }
  }

  private static void addRandomOutcome(Random random, RecentOutcomes recent, long now) {
    recent.addRequest(now);
    if (random.nextInt(100) == 0) {
      recent.addFailure(now);
    }
    if (random.nextInt(100) == 0) {
      recent.addSlow(now);
    }
  }

  /** Returns a Poisson-distributed number of requests with the given mean. */
  private static int drawRequestCount(Random random, double mean) {
    int count = 0;
    double product = random.nextDouble();
    double limit = Math.exp(-mean);
    while (product > limit) {
      product *= random.nextDouble();
      count++;
    }
    return count;
  }
}
