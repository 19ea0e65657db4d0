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
 * The workload of a user, scaled down in time: prompts share documents, and the gaps between two
 * requests for a document are longer than an engine's prefix cache retains it.
 *
 * @param documents number of long shared texts or records, over all teams
 * @param documentBytes length of a document
 * @param uniqueBytes length of the text that is unique to a request, for large requests
 * @param largeRequestShare share of large requests
 * @param requestsPerSecond arrival rate at 1×
 * @param skew exponent of the Zipf distribution of the documents' popularity; 0 for uniform
 */
public record Profile(
    String name,
    List<String> teams,
    int engines,
    int documents,
    int documentBytes,
    int uniqueBytes,
    double largeRequestShare,
    double requestsPerSecond,
    double skew,
    int answerTokens,
    EngineOptions engine,
    StoreServer.Options store,
    double weightTtft,
    double weightRecompute,
    double weightLink,
    long linkBytesPerSecond) {

  private static final int KV_BYTES_PER_TOKEN = 1_000;

  /** Quoting: few large shared handbooks; time to first token has the highest weight. */
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
          new EngineOptions(120, 0.05, 5, 8, 32, true, KV_BYTES_PER_TOKEN, 800, "v1"),
          new StoreServer.Options(8_000_000_000L, 2_000_000_000L, 1_000_000, 2_000_000),
          1,
          0.002,
          0.02,
          400_000_000L);

  /** Field boundaries: many long records that are rarely requested again, over slower links. */
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
          new EngineOptions(80, 0.05, 5, 8, 32, true, KV_BYTES_PER_TOKEN, 800, "v1"),
          new StoreServer.Options(8_000_000_000L, 1_000_000_000L, 200_000, 400_000),
          0.2,
          0.05,
          0.5,
          120_000_000L);

  static Profile byName(String name) {
    return switch (name) {
      case "kigali" -> KIGALI;
      case "sasaki" -> SASAKI;
      default ->
          throw new IllegalArgumentException("profile must be kigali or sasaki, not " + name);
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
        .setCostWeights(weightTtft, weightRecompute, weightLink, linkBytesPerSecond)
        .build();
  }
}
