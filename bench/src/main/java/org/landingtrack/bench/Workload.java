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
import org.landingtrack.bench.CallerClient.PromptRequest;

/** Generates the requests of a profile from a seed. Not thread-safe. */
final class Workload {
  private static final long DEADLINE_MS = 8_000;

  private final Profile profile;
  private final SplittableRandom random;
  private final List<String> documents = new ArrayList<>();
  private final double[] cumulativeWeights;
  private long questionNumber;

  Workload(Profile profile, long seed) {
    this.profile = profile;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < profile.documents(); i++) {
      documents.add(randomText(profile.documentBytes()));
    }
    this.cumulativeWeights = new double[profile.documents()];
    double total = 0;
    for (int i = 0; i < cumulativeWeights.length; i++) {
      total += 1 / Math.pow(i + 1, profile.skew());
      cumulativeWeights[i] = total;
    }
  }

  private String randomText(int bytes) {
    StringBuilder text = new StringBuilder(bytes + 16);
    while (text.length() < bytes) {
      text.append(Long.toString(random.nextLong() >>> 20, 36)).append(' ');
    }
    text.setLength(bytes);
    return text.toString();
  }

  /** Returns one request for each document, to fill the caches before a measurement. */
  List<PromptRequest> warmUp() {
    List<PromptRequest> prompts = new ArrayList<>();
    for (int i = 0; i < documents.size(); i++) {
      prompts.add(createRequest(i, "warm up " + i));
    }
    return prompts;
  }

  /** Returns the next request, for a random document. */
  PromptRequest nextRequest() {
    double target = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
    int document = 0;
    while (cumulativeWeights[document] < target) {
      document++;
    }
    boolean large = random.nextDouble() < profile.largeRequestShare();
    String uniqueText = large ? randomText(profile.uniqueBytes()) + " " : "";
    return createRequest(document, uniqueText + "question " + questionNumber++);
  }

  private PromptRequest createRequest(int document, String question) {
    String team = profile.teams().get(document % profile.teams().size());
    return new PromptRequest(
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
  double nextInterarrivalS(double requestsPerSecond) {
    return -Math.log(1 - random.nextDouble()) / requestsPerSecond;
  }
}
