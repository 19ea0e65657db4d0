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
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.tls.CertificateIssuer;

/**
 * Implements the command {@code landingtrack keys}, which creates keys of teams and operators, and
 * certificates of VMs.
 */
final class Keys {
  static final String VERBS =
      """
      verbs:
        new                        create a key of a team or an operator; print it and its SHA-256
        authority                  create a certificate authority in the folder --out
        issue                      create the certificate of --vm, signed by --authority, in --out
      """;

  private static final int KEY_BYTES = 24;
  private static final int MAX_DAYS = 3_650;

  private Keys() {}

  static Options options() {
    return new Options()
        .addOption(optionWithArgument("out", "FOLDER", "folder to write the files to"))
        .addOption(
            optionWithArgument("authority", "FOLDER", "folder with the files of the authority"))
        .addOption(optionWithArgument("vm", "NAME", "name of the VM"))
        .addOption(optionWithArgument("ip", "ADDRESS,…", "IP addresses of the VM"))
        .addOption(optionWithArgument("days", "N", "days of validity, 1 to 3650; default 365"));
  }

  private static Option optionWithArgument(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }

  static int run(CommandLine commandLine, List<String> arguments, PrintStream out) {
    if (arguments.size() != 1) {
      throw new UsageException("keys needs exactly one VERB\n" + VERBS);
    }
    switch (arguments.get(0)) {
      case "new" -> printNewKey(out);
      case "authority" -> {
        Path folder = Path.of(requiredOption(commandLine, "out"));
        CertificateIssuer.createAuthority(folder, parseDays(commandLine));
        out.println("wrote " + folder);
      }
      case "issue" -> {
        Path folder = Path.of(requiredOption(commandLine, "out"));
        CertificateIssuer.issue(
            Path.of(requiredOption(commandLine, "authority")),
            requiredOption(commandLine, "vm"),
            List.of(requiredOption(commandLine, "ip").split(",", -1)),
            parseDays(commandLine),
            folder);
        out.println("wrote " + folder);
      }
      default -> throw new UsageException("unknown verb '" + arguments.get(0) + "'\n" + VERBS);
    }
    return ExitCodes.DONE;
  }

  private static void printNewKey(PrintStream out) {
    byte[] bytes = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(bytes);
    String key = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    out.println("key     " + key);
    out.println("sha256  " + Hashes.sha256Hex(key));
  }

  private static String requiredOption(CommandLine commandLine, String name) {
    String value = commandLine.getOptionValue(name);
    if (value == null || value.isEmpty()) {
      throw new UsageException("--" + name + " is missing");
    }
    return value;
  }

  private static int parseDays(CommandLine commandLine) {
    String text = commandLine.getOptionValue("days", "365");
    try {
      int days = Integer.parseInt(text);
      if (days >= 1 && days <= MAX_DAYS) {
        return days;
      }
    } catch (NumberFormatException e) {
      // The error below names the allowed range.
    }
    throw new UsageException(
        "--days must be a whole number from 1 to " + MAX_DAYS + ", not '" + text + "'");
  }
}
