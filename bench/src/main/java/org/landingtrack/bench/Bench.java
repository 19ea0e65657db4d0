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

import java.io.IOException;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.landingtrack.internal.base.Logs;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Command line entry point of the load generator and the benchmarks. */
public final class Bench {
  private static final String USAGE =
      """
      usage: landingtrack-bench COMMAND [OPTIONS]
      commands:
        send    send the prompts of a file: --file, --gateways URL,…, --service, --key
        policy  measure routing policies: --profile kigali|sasaki, --seed N, --seconds S,
                --policy all|landingtrack|round-robin|least-loaded|prefix-hash,
                --fault none|engine-death|store-death|slow-link|load-lag|platform-out
        overload  goodput at 1×, 2× and 4× of the base rate: --profile, --seed, --seconds,
                  --rate R (base rate, requests a second)
        capacity  memory, message sizes and CPU time per item for docs/CAPACITY.md
        claims  latency and rate of request key claims under the platform's call limits:
                --seconds
        jmh     time and allocation per routing decision
        control  CPU, heap and platform calls of a controller: --objects N, --seconds
        faults  fault injection under load: --seed N, --seconds S, --disturbances N
      """;
  private static final int USAGE_EXIT = 2;

  private Bench() {}

  public static void main(String[] args) throws IOException, InterruptedException {
    Logs.configure("text", "error");
    if (args.length == 0 || args[0].equals("--help")) {
      System.out.print(USAGE);
      System.exit(args.length == 0 ? USAGE_EXIT : 0);
    }
    System.exit(run(args));
  }

  private static int run(String[] args) throws IOException, InterruptedException {
    try {
      CommandLine line =
          new DefaultParser().parse(options(), Arrays.copyOfRange(args, 1, args.length));
      return switch (args[0]) {
        case "send" -> SendCommand.run(line);
        case "policy" -> PolicyCommand.run(line);
        case "overload" -> OverloadCommand.run(line);
        case "faults" -> faults(line);
        case "capacity" -> CapacityCommand.run();
        case "claims" -> ClaimsCommand.run(line);
        case "control" -> ControlCommand.run(line);
        case "jmh" -> jmh();
        default -> throw new ParseException("unknown command '" + args[0] + "'");
      };
    } catch (ParseException | IllegalArgumentException e) {
      System.err.println("bench: " + e.getMessage() + "\n" + USAGE);
      return USAGE_EXIT;
    }
  }

  private static int faults(CommandLine line) throws InterruptedException {
    long seed = Long.parseLong(line.getOptionValue("seed", "1"));
    double seconds = Double.parseDouble(line.getOptionValue("seconds", "60"));
    int disturbances = Integer.parseInt(line.getOptionValue("disturbances", "30"));
    FaultInjectionRun.Counts counts = FaultInjectionRun.run(seed, disturbances, seconds);
    System.out.println(counts.json());
    boolean answersCorrect = counts.lost() + counts.doubled() + counts.crossed() == 0;
    return answersCorrect && counts.falseNotRun() == 0 ? 0 : 1;
  }

  private static int jmh() throws IOException {
    try {
      new Runner(
              new OptionsBuilder()
                  .include(RoutingBenchmark.class.getSimpleName())
                  .addProfiler(GCProfiler.class)
                  .build())
          .run();
      return 0;
    } catch (RunnerException e) {
      throw new IOException(e);
    }
  }

  private static Options options() {
    Options options = new Options();
    for (String name :
        new String[] {
          "file",
          "gateways",
          "service",
          "key",
          "profile",
          "policy",
          "seed",
          "seconds",
          "fault",
          "rate",
          "disturbances",
          "objects"
        }) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
    // Every benchmark prints JSON; the option is accepted so that scripts can pass it.
    return options.addOption(Option.builder().longOpt("json").get());
  }
}
