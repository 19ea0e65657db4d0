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
package org.landingtrack.standins;

import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.landingtrack.internal.base.Logs;

/**
 * Runs one stand-in as a process, for example {@code engine --port 8000 --weight-version v1}. It
 * says its port on standard output and runs until it is ended.
 */
public final class Standins {
  private static final String USAGE =
      """
      usage: standins KIND [OPTIONS]
      kinds: object-api, vm-list, engine, store, plain
      options:
        --port N               port; 0 takes a free one (default)
        --name NAME            name in answers (plain)
        --weight-version NAME  weights that an engine starts with
        --cache-blocks N       blocks of an engine's cache
        --prefill-us N         microseconds to compute a prompt token
        --decode-ms N          milliseconds between tokens
        --concurrent N         requests in an engine's batch
        --no-fences            the engine does not check epochs
        --link-mb-s N          speed of a store VM's link in MB a second
        --capacity-mb N        size of a store VM
      """;
  private static final int USAGE_EXIT = 2;

  private Standins() {}

  public static void main(String[] args) throws InterruptedException {
    Logs.configure("text", "warn");
    if (args.length == 0 || args[0].equals("--help")) {
      System.out.print(USAGE);
      System.exit(args.length == 0 ? USAGE_EXIT : 0);
    }
    try {
      CommandLine line =
          new DefaultParser().parse(options(), Arrays.copyOfRange(args, 1, args.length));
      int port = start(args[0], line);
      System.out.println(port);
    } catch (ParseException | IllegalArgumentException e) {
      System.err.println("standins: " + e.getMessage());
      System.exit(USAGE_EXIT);
    }
    new CountDownLatch(1).await();
  }

  private static Options options() {
    Options options = new Options();
    for (String name :
        new String[] {
          "port",
          "name",
          "weight-version",
          "cache-blocks",
          "prefill-us",
          "decode-ms",
          "concurrent",
          "link-mb-s",
          "capacity-mb"
        }) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
    return options.addOption(Option.builder().longOpt("no-fences").get());
  }

  private static int start(String kind, CommandLine line) {
    int port = number(line, "port", 0);
    return switch (kind) {
      case "object-api" -> new ObjectApiServer(port).port();
      case "vm-list" -> new VmListServer(port).port();
      case "plain" -> new PlainServer(line.getOptionValue("name", "plain"), port).port();
      case "engine" -> new EngineServer(port, engine(line), new WeightStore()).port();
      case "store" -> new StoreServer(port, store(line)).port();
      default -> throw new IllegalArgumentException("unknown kind '" + kind + "'");
    };
  }

  private static EngineOptions engine(CommandLine line) {
    return new EngineOptions(
        number(line, "cache-blocks", 256),
        number(line, "prefill-us", 50) / 1000.0,
        number(line, "decode-ms", 10),
        number(line, "concurrent", 8),
        64,
        !line.hasOption("no-fences"),
        1_000,
        800,
        line.getOptionValue("weight-version", "v1"));
  }

  private static StoreServer.Options store(CommandLine line) {
    long capacity = number(line, "capacity-mb", 4_096) * 1_000_000L;
    return new StoreServer.Options(
        capacity, capacity / 4, number(line, "link-mb-s", 1_000) * 1_000.0, 500_000);
  }

  private static int number(CommandLine line, String name, int fallback) {
    String text = line.getOptionValue(name);
    return text == null ? fallback : Integer.parseInt(text);
  }
}
