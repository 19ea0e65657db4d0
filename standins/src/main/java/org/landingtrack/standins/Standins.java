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
 * Main class that runs one stand-in as a process, for example {@code engine --port 8000
 * --weight-version v1}. It prints its port on standard output and runs until it is killed.
 */
public final class Standins {
  private static final String USAGE =
      """
      usage: standins KIND [OPTIONS]
      kinds: object-api, vm-list, engine, store, plain
      options:
        --port N               port to listen on; 0 selects a free one (default)
        --name NAME            name in answers (plain)
        --weight-version NAME  version of the weights that an engine starts with
        --cache-blocks N       capacity of an engine's prefix cache in blocks
        --prefill-us N         prefill time per prompt token in microseconds
        --decode-ms N          time between the tokens of an answer in milliseconds
        --concurrent N         maximum number of requests in an engine's batch
        --no-fences            the engine accepts orders with a stale epoch
        --link-mb-s N          bandwidth of a store VM's link in MB per second
        --capacity-mb N        capacity of a store VM in MB
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
      CommandLine commandLine =
          new DefaultParser().parse(options(), Arrays.copyOfRange(args, 1, args.length));
      int port = start(args[0], commandLine);
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

  private static int start(String kind, CommandLine commandLine) {
    int port = intOption(commandLine, "port", 0);
    return switch (kind) {
      case "object-api" -> new ObjectApiServer(port).port();
      case "vm-list" -> new VmListServer(port).port();
      case "plain" -> new PlainServer(commandLine.getOptionValue("name", "plain"), port).port();
      case "engine" -> new EngineServer(port, engineOptions(commandLine), new WeightStore()).port();
      case "store" -> new StoreServer(port, storeOptions(commandLine)).port();
      default ->
          throw new IllegalArgumentException(
              "unknown kind (expected object-api, vm-list, engine, store or plain): '"
                  + kind
                  + "'");
    };
  }

  private static EngineOptions engineOptions(CommandLine commandLine) {
    return new EngineOptions(
        intOption(commandLine, "cache-blocks", 256),
        intOption(commandLine, "prefill-us", 50) / 1000.0,
        intOption(commandLine, "decode-ms", 10),
        intOption(commandLine, "concurrent", 8),
        64,
        !commandLine.hasOption("no-fences"),
        1_000,
        800,
        commandLine.getOptionValue("weight-version", "v1"));
  }

  private static StoreServer.Options storeOptions(CommandLine commandLine) {
    long capacity = intOption(commandLine, "capacity-mb", 4_096) * 1_000_000L;
    return new StoreServer.Options(
        capacity, capacity / 4, intOption(commandLine, "link-mb-s", 1_000) * 1_000.0, 500_000);
  }

  private static int intOption(CommandLine commandLine, String name, int fallback) {
    String text = commandLine.getOptionValue(name);
    return text == null ? fallback : Integer.parseInt(text);
  }
}
