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

/**
 * Parses a command line of {@code landingtrack} and runs the program that it names. Prints results
 * and errors to the given streams.
 */
public final class CommandLineProgram {
  private static final String VERSION = "landingtrack 0.1.0";
  private static final String USAGE =
      """
      usage: landingtrack PROGRAM [OPTIONS] [ARGUMENTS]

      programs:
        gateway --settings FILE           serve the requests of callers
        controller --settings FILE        distribute the configuration to gateways, serve operators
        ctl --controller ADDRESS VERB …   operate the system through a controller
        check FILE                        check a settings file
        keys VERB …                       create keys and certificates

      options of every program: --help, --version
      exit codes: 0 done, 1 failed, 2 wrong usage or settings
      """;

  private final PrintStream out;
  private final PrintStream err;

  public CommandLineProgram(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs a command line and returns the exit code, one of {@link ExitCodes}. */
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
      throw new UsageException("no PROGRAM is given\n" + USAGE);
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
    CommandLine commandLine = parse(program, args);
    if (commandLine.hasOption("help")) {
      out.print(USAGE);
      if (program.equals("ctl")) {
        out.print("\n" + Ctl.VERBS + "\noptions of ctl:\n" + formatOptions(Ctl.options()));
      }
      if (program.equals("keys")) {
        out.print("\n" + Keys.VERBS + "\noptions of keys:\n" + formatOptions(Keys.options()));
      }
      return ExitCodes.DONE;
    }
    if (commandLine.hasOption("version")) {
      out.println(VERSION);
      return ExitCodes.DONE;
    }
    return run(program, commandLine);
  }

  private int run(String program, CommandLine commandLine) throws InterruptedException {
    List<String> arguments = commandLine.getArgList();
    return switch (program) {
      case "gateway" -> ProcessCommand.gateway(settingsFile(commandLine));
      case "controller" -> ProcessCommand.controller(settingsFile(commandLine));
      case "check" -> {
        if (arguments.size() != 1) {
          throw new UsageException("check needs one FILE");
        }
        yield ProcessCommand.check(Path.of(arguments.get(0)));
      }
      case "keys" -> Keys.run(commandLine, arguments, out);
      case "ctl" -> {
        Logs.configure("text", "error");
        yield Ctl.run(commandLine, arguments, out, err);
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
    options.addOption(Option.builder("h").longOpt("help").desc("print the usage").get());
    options.addOption(Option.builder().longOpt("version").desc("print the version").get());
    if (program.equals("gateway") || program.equals("controller")) {
      options.addOption(
          Option.builder().longOpt("settings").hasArg().argName("FILE").desc("settings").get());
    }
    String[] programArgs = Arrays.copyOfRange(args, 1, args.length);
    try {
      return new DefaultParser().parse(options, programArgs);
    } catch (ParseException e) {
      throw new UsageException(String.valueOf(e.getMessage()));
    }
  }

  private static String formatOptions(Options options) {
    StringBuilder text = new StringBuilder();
    for (Option option : options.getOptions()) {
      String argument = option.hasArg() ? " " + option.getArgName() : "";
      text.append(
          String.format("  --%-28s %s%n", option.getLongOpt() + argument, option.getDescription()));
    }
    return text.toString();
  }

  private static Path settingsFile(CommandLine commandLine) {
    String file = commandLine.getOptionValue("settings");
    if (file == null) {
      throw new UsageException("--settings FILE is missing");
    }
    return Path.of(file);
  }
}
