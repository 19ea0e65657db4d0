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

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.landingtrack.internal.base.Json;
import org.landingtrack.standins.EngineServer;
import org.landingtrack.standins.StoreServer;

/**
 * Measures routing policies under the load of a profile, with real gateway and controller
 * processes, optionally with a fault after a third of the time.
 */
final class PolicyCommand {
  private static final List<String> POLICIES =
      List.of("landingtrack", "round-robin", "least-loaded", "prefix-hash");
  private static final List<String> FAULTS =
      List.of("none", "engine-death", "store-death", "slow-link", "load-lag", "platform-out");
  private static final int WARM_UP_CONCURRENCY = 8;
  private static final long EXPORT_SETTLE_MS = 3_000;
  private static final double SLOW_LINK_DIVISOR = 20;

  private PolicyCommand() {}

  static int run(CommandLine line) throws InterruptedException {
    Profile profile = Profile.byName(line.getOptionValue("profile", "kigali"));
    String policy = line.getOptionValue("policy", "landingtrack");
    String fault = line.getOptionValue("fault", "none");
    long seed = Long.parseLong(line.getOptionValue("seed", "1"));
    int seconds = Integer.parseInt(line.getOptionValue("seconds", "30"));
    if (!FAULTS.contains(fault)) {
      throw new IllegalArgumentException("fault must be one of " + FAULTS);
    }
    List<String> policies = policy.equals("all") ? POLICIES : List.of(policy);
    if (!POLICIES.containsAll(policies)) {
      throw new IllegalArgumentException("policy must be all or one of " + POLICIES);
    }
    for (String name : policies) {
      System.out.println(measure(profile, name, fault, seed, seconds));
    }
    return 0;
  }

  private static ObjectNode measure(
      Profile profile, String policy, String fault, long seed, int seconds)
      throws InterruptedException {
    try (Deployment deployment = Deployment.start(profile.plan(policy, seed));
        LoadRun load = new LoadRun(gatewayUrls(deployment))) {
      Workload workload = new Workload(profile, seed);
      load.warmUp(workload.warmUp(), WARM_UP_CONCURRENCY);
      Thread.sleep(EXPORT_SETTLE_MS);
      long linkBefore = linkBytes(deployment);
      Timer timer = new Timer(true);
      timer.schedule(
          new TimerTask() {
            @Override
            public void run() {
              injectFault(fault, deployment);
            }
          },
          seconds * 1_000L / 3);
      load.run(workload, profile.requestsPerSecond(), seconds, 0);
      List<LoadRun.TimedAnswer> answers = load.finish();
      timer.cancel();
      ObjectNode result = summarize(answers, seconds);
      result.put("profile", profile.name()).put("policy", policy).put("fault", fault);
      result.put("seed", seed).put("seconds", seconds);
      result.put("link_bytes", linkBytes(deployment) - linkBefore);
      result.put("link_budget_bytes", profile.linkBytesPerSecond() * seconds);
      return result;
    }
  }

  static List<String> gatewayUrls(Deployment deployment) {
    List<String> urls = new ArrayList<>();
    for (int i = 0; i < deployment.gatewayCount(); i++) {
      urls.add(deployment.gatewayUrl(i));
    }
    return urls;
  }

  private static long linkBytes(Deployment deployment) {
    long bytes = 0;
    for (StoreServer store : deployment.stores()) {
      bytes += store.linkBytes();
    }
    return bytes;
  }

  private static void injectFault(String fault, Deployment deployment) {
    switch (fault) {
      case "engine-death" -> deployment.engines().get(0).close();
      case "store-death" -> deployment.stores().get(0).close();
      case "slow-link" ->
          deployment.stores().forEach(store -> store.faults().set("slowLink", SLOW_LINK_DIVISOR));
      case "load-lag" -> {
        for (EngineServer engine : deployment.engines()) {
          engine.faults().set("loadLag", 1).set("eventLagMs", 3_000);
        }
      }
      case "platform-out" -> deployment.objectApi().faults().set("out", 1);
      default -> {}
    }
  }

  /** Summarizes answers. The recomputed share is of the prompt tokens of complete answers. */
  static ObjectNode summarize(List<LoadRun.TimedAnswer> answers, double seconds) {
    Histogram ttft = new Histogram(3);
    long whole = 0;
    long refused = 0;
    long withinDeadline = 0;
    long promptTokens = 0;
    long cachedTokens = 0;
    for (LoadRun.TimedAnswer timed : answers) {
      CallerClient.Answer answer = timed.answer();
      if (!answer.complete()) {
        refused += answer.ran().equals("not-run") ? 1 : 0;
        continue;
      }
      whole++;
      withinDeadline += answer.ttftMs() <= timed.request().deadlineMs() ? 1 : 0;
      ttft.recordValue(Math.max(1, (long) (answer.ttftMs() * 1_000)));
      promptTokens += answer.promptTokens();
      cachedTokens += answer.cachedTokens();
    }
    ObjectNode result = Json.LENIENT.createObjectNode();
    result.put("requests", answers.size()).put("whole", whole).put("refused", refused);
    result.put("failed", answers.size() - whole - refused);
    result.put("ttft_p50_ms", ttft.getValueAtPercentile(50) / 1e3);
    result.put("ttft_p95_ms", ttft.getValueAtPercentile(95) / 1e3);
    result.put(
        "recomputed_share",
        promptTokens == 0 ? 0 : 1 - (double) cachedTokens / (double) promptTokens);
    result.put("goodput", withinDeadline / seconds);
    return result;
  }
}
