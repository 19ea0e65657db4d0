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
package org.landingtrack.internal.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Logs;
import org.landingtrack.internal.settings.SettingsException;

/** Parses the command line and runs one program. */
public final class CommandLineProgram {
  private static final String VERSION = "landingtrack 0.1.0";
  private static final String USAGE =
      """
      usage: landingtrack PROGRAM [OPTIONS] [ARGUMENTS]

      programs:
        gateway --settings FILE           serve callers
        controller --settings FILE        keep gateways informed, serve operators
        ctl --controller ADDRESS VERB …   drive the system
        check FILE                        check a settings file
        keys VERB …                       make keys and certificates

      options of every program: --help, --version
      exit codes: 0 done, 1 failed, 2 wrong usage or settings
      """;

  private final PrintStream out;
  private final PrintStream err;

  public CommandLineProgram(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs a command line and returns the exit code. */
  public int run(String... args) {
    try {
      return dispatch(args);
    } catch (UsageException | SettingsException e) {
      err.println("landingtrack: " + e.getMessage());
      return ExitCodes.USAGE;
    } catch (LandingtrackException e) {
      err.println("landingtrack: " + e.kind() + ": " + e.getMessage());
      return ExitCodes.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCodes.FAILED;
    }
  }

  private int dispatch(String[] args) throws InterruptedException {
    if (args.length == 0) {
      throw new UsageException("a program is missing\n" + USAGE);
    }
    String program = args[0];
    if (program.equals("--help")) {
      out.print(USAGE);
      return ExitCodes.DONE;
    }
    if (program.equals("--version")) {
      out.println(VERSION);
      return ExitCodes.DONE;
    }
    CommandLine line = parse(program, args);
    if (line.hasOption("help")) {
      out.print(USAGE);
      if (program.equals("ctl")) {
        out.print("\n" + Ctl.VERBS + "\noptions of ctl:\n" + describe(Ctl.options()));
      }
      if (program.equals("keys")) {
        out.print("\n" + Keys.VERBS + "\noptions of keys:\n" + describe(Keys.options()));
      }
      return ExitCodes.DONE;
    }
    if (line.hasOption("version")) {
      out.println(VERSION);
      return ExitCodes.DONE;
    }
    return run(program, line);
  }

  private int run(String program, CommandLine line) throws InterruptedException {
    List<String> words = line.getArgList();
    return switch (program) {
      case "gateway" -> ProcessCommand.gateway(settings(line));
      case "controller" -> ProcessCommand.controller(settings(line));
      case "check" -> {
        if (words.size() != 1) {
          throw new UsageException("check needs one FILE");
        }
        yield ProcessCommand.check(Path.of(words.get(0)));
      }
      case "keys" -> Keys.run(line, words, out);
      case "ctl" -> {
        Logs.configure("text", "error");
        yield Ctl.run(line, words, out, err);
      }
      default -> throw new UsageException("unknown program '" + program + "'\n" + USAGE);
    };
  }

  private static CommandLine parse(String program, String[] args) {
    Options options =
        switch (program) {
          case "ctl" -> Ctl.options();
          case "keys" -> Keys.options();
          default -> new Options();
        };
    options.addOption(Option.builder("h").longOpt("help").desc("show the usage").get());
    options.addOption(Option.builder().longOpt("version").desc("show the version").get());
    if (program.equals("gateway") || program.equals("controller")) {
      options.addOption(
          Option.builder().longOpt("settings").hasArg().argName("FILE").desc("settings").get());
    }
    String[] rest = Arrays.copyOfRange(args, 1, args.length);
    try {
      return new DefaultParser().parse(options, rest);
    } catch (ParseException e) {
      throw new UsageException(String.valueOf(e.getMessage()));
    }
  }

  private static String describe(Options options) {
    StringBuilder text = new StringBuilder();
    for (Option option : options.getOptions()) {
      String arg = option.hasArg() ? " " + option.getArgName() : "";
      text.append(
          String.format("  --%-28s %s%n", option.getLongOpt() + arg, option.getDescription()));
    }
    return text.toString();
  }

  private static Path settings(CommandLine line) {
    String file = line.getOptionValue("settings");
    if (file == null) {
      throw new UsageException("--settings FILE is missing");
    }
    return Path.of(file);
  }
}
