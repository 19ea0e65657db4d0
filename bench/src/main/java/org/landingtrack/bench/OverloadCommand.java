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

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.landingtrack.internal.base.Json;

/**
 * Measures goodput at 1×, 2× and 4× of a base rate, which should be the capacity of the engines,
 * and the time to recover when the load is back at 1×.
 */
final class OverloadCommand {
  private static final int WARM_UP_CONCURRENCY = 8;
  private static final long SETTLE_MS = 3_000;
  private static final double[] RATE_FACTORS = {1, 2, 4, 1};
  private static final double BUCKET_S = 1;
  private static final double RECOVERED_SHARE = 0.95;

  private OverloadCommand() {}

  static int run(CommandLine line) throws InterruptedException {
    Profile profile = Profile.byName(line.getOptionValue("profile", "kigali"));
    long seed = Long.parseLong(line.getOptionValue("seed", "1"));
    int seconds = Integer.parseInt(line.getOptionValue("seconds", "15"));
    double baseRate = Double.parseDouble(line.getOptionValue("rate", "40"));
    try (Deployment deployment = Deployment.start(profile.plan("landingtrack", seed));
        LoadRun load = new LoadRun(PolicyCommand.gatewayUrls(deployment))) {
      Workload workload = new Workload(profile, seed);
      load.warmUp(workload.warmUp(), WARM_UP_CONCURRENCY);
      Thread.sleep(SETTLE_MS);
      for (int i = 0; i < RATE_FACTORS.length; i++) {
        load.run(workload, baseRate * RATE_FACTORS[i], seconds, (double) i * seconds);
      }
      List<LoadRun.TimedAnswer> answers = load.finish();
      System.out.println(report(answers, seconds, baseRate));
    }
    return 0;
  }

  private static ObjectNode report(
      List<LoadRun.TimedAnswer> answers, int seconds, double baseRate) {
    ObjectNode report = Json.LENIENT.createObjectNode();
    report.put("base_requests_per_second", baseRate);
    for (int i = 0; i < RATE_FACTORS.length; i++) {
      double fromS = (double) i * seconds;
      List<LoadRun.TimedAnswer> selected = sentBetween(answers, fromS, fromS + seconds);
      String name = i == RATE_FACTORS.length - 1 ? "after" : "at_" + (int) RATE_FACTORS[i] + "x";
      report.set(name, PolicyCommand.summarize(selected, seconds));
    }
    ArrayNode shares = report.putArray("whole_share_by_second");
    for (int second = 0; second < RATE_FACTORS.length * seconds; second++) {
      shares.add(completeShare(sentBetween(answers, second, second + 1)));
    }
    report.put("normal_again_after_s", recoveryS(answers, 3.0 * seconds, seconds));
    return report;
  }

  private static List<LoadRun.TimedAnswer> sentBetween(
      List<LoadRun.TimedAnswer> answers, double fromS, double toS) {
    List<LoadRun.TimedAnswer> selected = new ArrayList<>();
    for (LoadRun.TimedAnswer timed : answers) {
      if (timed.sentAtS() >= fromS && timed.sentAtS() < toS) {
        selected.add(timed);
      }
    }
    return selected;
  }

  /** Returns the share of complete answers, rounded to hundredths; 0 if there are no answers. */
  private static double completeShare(List<LoadRun.TimedAnswer> selected) {
    long whole = selected.stream().filter(timed -> timed.answer().complete()).count();
    return selected.isEmpty() ? 0 : Math.round(100.0 * whole / selected.size()) / 100.0;
  }

  /**
   * Returns the seconds from the end of the overload to the end of the first second in which at
   * least 95% of the answers are complete; -1 if there is none.
   */
  private static double recoveryS(
      List<LoadRun.TimedAnswer> answers, double overloadEndS, int seconds) {
    for (double afterS = 0; afterS < seconds; afterS += BUCKET_S) {
      List<LoadRun.TimedAnswer> selected =
          sentBetween(answers, overloadEndS + afterS, overloadEndS + afterS + BUCKET_S);
      if (completeShare(selected) >= RECOVERED_SHARE) {
        return afterS + BUCKET_S;
      }
    }
    return -1;
  }
}
