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

import java.util.List;
import org.landingtrack.standins.EngineOptions;
import org.landingtrack.standins.StoreServer;

/**
 * A user's workload, scaled down in time: documents that come back after gaps which are longer than
 * the engines' memory keeps them.
 *
 * @param documents long shared texts or records, over all teams
 * @param documentBytes length of one
 * @param ownBytes length of the part that only one request has, for the large kind of request
 * @param largeShare share of requests of the large kind
 * @param requestsPerSecond arrival rate at 1×
 * @param skew exponent of the documents' popularity; 0 for uniform
 */
public record Profile(
    String name,
    List<String> teams,
    int engines,
    int documents,
    int documentBytes,
    int ownBytes,
    double largeShare,
    double requestsPerSecond,
    double skew,
    int answerTokens,
    EngineOptions engine,
    StoreServer.Options store,
    double weightTtft,
    double weightRecompute,
    double weightLink,
    long linkBytesPerSecond) {

  private static final int KV_BYTES = 1_000;

  /** Quoting: a few large shared handbooks, time to first token weighs most. */
  public static final Profile KIGALI =
      new Profile(
          "kigali",
          List.of("gasabo", "kicukiro", "nyarugenge", "remera"),
          12,
          36,
          96_000,
          8_000,
          0.3,
          8,
          0.5,
          12,
          new EngineOptions(120, 0.05, 5, 8, 32, true, KV_BYTES, 800, "v1"),
          new StoreServer.Options(8_000_000_000L, 2_000_000_000L, 1_000_000, 2_000_000),
          1,
          0.002,
          0.02,
          400_000_000L);

  /** Field boundaries: long records that come back rarely, behind slower links. */
  public static final Profile SASAKI =
      new Profile(
          "sasaki",
          List.of("obihiro", "otofuke", "memuro"),
          12,
          150,
          40_000,
          1_000,
          0.2,
          12,
          0,
          12,
          new EngineOptions(80, 0.05, 5, 8, 32, true, KV_BYTES, 800, "v1"),
          new StoreServer.Options(8_000_000_000L, 1_000_000_000L, 200_000, 400_000),
          0.2,
          0.05,
          0.5,
          120_000_000L);

  static Profile of(String name) {
    return switch (name) {
      case "kigali" -> KIGALI;
      case "sasaki" -> SASAKI;
      default -> throw new IllegalArgumentException("profile must be kigali or sasaki: " + name);
    };
  }

  DeploymentPlan plan(String policy, long seed) {
    return new DeploymentPlan.Builder()
        .setControllers(4)
        .setGateways(4)
        .setEngines(engines)
        .setStores(2)
        .setTeams(teams)
        .setEngine(engine)
        .setStore(store)
        .setPolicy(policy)
        .setSeed(seed)
        .setMaxQueue(24)
        .setWeights(weightTtft, weightRecompute, weightLink, linkBytesPerSecond)
        .build();
  }
}
