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
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.landingtrack.internal.base.Logs;

/** Entry point of the load tool and the measurements. */
public final class Bench {
  private static final String USAGE =
      """
      usage: landingtrack-bench COMMAND [OPTIONS]
      commands:
        send    send the prompts of a file: --file, --gateways URL,…, --service, --key
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
          new DefaultParser().parse(options(), java.util.Arrays.copyOfRange(args, 1, args.length));
      return switch (args[0]) {
        case "send" -> SendCommand.run(line);
        default -> throw new ParseException("unknown command '" + args[0] + "'");
      };
    } catch (ParseException e) {
      System.err.println("bench: " + e.getMessage() + "\n" + USAGE);
      return USAGE_EXIT;
    }
  }

  private static Options options() {
    Options options = new Options();
    for (String name : new String[] {"file", "gateways", "service", "key"}) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
    return options;
  }
}
