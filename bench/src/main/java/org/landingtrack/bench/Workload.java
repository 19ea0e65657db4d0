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
import org.landingtrack.bench.CallerClient.Ask;

/** Generates the requests of a profile from a seed. Not thread-safe. */
final class Workload {
  private static final long DEADLINE_MS = 8_000;

  private final Profile profile;
  private final SplittableRandom random;
  private final List<String> documents = new ArrayList<>();
  private final double[] cumulated;
  private long number;

  Workload(Profile profile, long seed) {
    this.profile = profile;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < profile.documents(); i++) {
      documents.add(text(profile.documentBytes()));
    }
    this.cumulated = new double[profile.documents()];
    double total = 0;
    for (int i = 0; i < cumulated.length; i++) {
      total += 1 / Math.pow(i + 1, profile.skew());
      cumulated[i] = total;
    }
  }

  private String text(int bytes) {
    StringBuilder text = new StringBuilder(bytes + 16);
    while (text.length() < bytes) {
      text.append(Long.toString(random.nextLong() >>> 20, 36)).append(' ');
    }
    text.setLength(bytes);
    return text.toString();
  }

  /** Returns one request for each document, to fill the caches before a measurement. */
  List<Ask> warmUp() {
    List<Ask> prompts = new ArrayList<>();
    for (int i = 0; i < documents.size(); i++) {
      prompts.add(ask(i, "warm up " + i));
    }
    return prompts;
  }

  /** Returns the next request, for a random document. */
  Ask next() {
    double target = random.nextDouble() * cumulated[cumulated.length - 1];
    int document = 0;
    while (cumulated[document] < target) {
      document++;
    }
    boolean large = random.nextDouble() < profile.largeShare();
    String uniqueText = large ? text(profile.ownBytes()) + " " : "";
    return ask(document, uniqueText + "question " + number++);
  }

  private Ask ask(int document, String question) {
    String team = profile.teams().get(document % profile.teams().size());
    return new Ask(
        Deployment.LLM,
        DeploymentPlan.teamKey(team),
        documents.get(document),
        question,
        profile.answerTokens(),
        DEADLINE_MS,
        false,
        "");
  }

  /** Returns a random time to the next arrival in seconds, for Poisson arrivals. */
  double nextGapS(double requestsPerSecond) {
    return -Math.log(1 - random.nextDouble()) / requestsPerSecond;
  }
}
