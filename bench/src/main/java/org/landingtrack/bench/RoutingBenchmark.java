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
package org.landingtrack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.landingtrack.internal.peer.Messages.Holder;
import org.landingtrack.internal.prefix.PrefixChain;
import org.landingtrack.internal.routing.CostPolicy;
import org.landingtrack.internal.routing.LoadReport;
import org.landingtrack.internal.routing.RouteDecision;
import org.landingtrack.internal.routing.RouteQuery;
import org.landingtrack.internal.routing.ServerSnapshot;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures time and allocation of a routing decision, by number of servers of a service. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class RoutingBenchmark {
  private static final int QUERY_COUNT = 64;
  private static final int BLOCKS_PER_PROMPT = 48;

  @Param({"12", "120", "800"})
  private int runners;

  private final List<RouteQuery> queries = new ArrayList<>();
  private CostPolicy policy = new CostPolicy(() -> new SplittableRandom(1));
  private int nextQuery;

  /** Creates queries for prompts that two engines have cached in part and a store VM has stored. */
  @Setup
  public void setUp() {
    SplittableRandom random = new SplittableRandom(1);
    policy = new CostPolicy(() -> random);
    List<ServerSnapshot> servers = new ArrayList<>();
    for (int i = 0; i < runners; i++) {
      LoadReport report = new LoadReport(random.nextInt(5_000), random.nextInt(8), 900);
      servers.add(
          new ServerSnapshot(
              "runner-" + i, "dc", 8, "v", random.nextInt(8), 0, report, 0, 0.05, 1));
    }
    for (int i = 0; i < QUERY_COUNT; i++) {
      PrefixChain chain =
          PrefixChain.of("team", "service", "v", (i + " text ").repeat(BLOCKS_PER_PROMPT * 350));
      List<Holder> holders =
          List.of(
              new Holder("runner-" + random.nextInt(runners), 40, ""),
              new Holder("runner-" + random.nextInt(runners), 20, ""),
              new Holder("store-1", 48, "manifest"));
      queries.add(
          new RouteQuery(
              chain,
              servers,
              holders,
              new RouteQuery.CostWeights(1, 0.002, 0.02),
              new RouteQuery.LinkState(1_000_000, 1L << 40, 0, 1_000, 3),
              0,
              "dc",
              1_000));
    }
  }

  /** Makes one routing decision. */
  @Benchmark
  public RouteDecision decide() {
    nextQuery = (nextQuery + 1) % QUERY_COUNT;
    return policy.decide(queries.get(nextQuery));
  }
}
