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

/** The command {@code landingtrack keys}: keys of teams and operators, certificates of VMs. */
final class Keys {
  static final String VERBS =
      """
      verbs:
        new                        make a key for a team or an operator; print it and its SHA-256
        authority                  make an authority in the folder --out
        issue                      make the certificate of --vm, signed by the one in --authority
      """;

  private static final int KEY_BYTES = 24;
  private static final int MAX_DAYS = 3_650;

  private Keys() {}

  static Options options() {
    return new Options()
        .addOption(value("out", "FOLDER", "where files are written"))
        .addOption(value("authority", "FOLDER", "where the authority's files are"))
        .addOption(value("vm", "NAME", "name of the VM"))
        .addOption(value("ip", "ADDRESS,…", "IP addresses of the VM"))
        .addOption(value("days", "N", "how long it is valid, 1 to 3650; 365 unless given"));
  }

  private static Option value(String name, String arg, String text) {
    return Option.builder().longOpt(name).hasArg().argName(arg).desc(text).get();
  }

  static int run(CommandLine line, List<String> words, PrintStream out) {
    if (words.size() != 1) {
      throw new UsageException("keys needs one verb\n" + VERBS);
    }
    switch (words.get(0)) {
      case "new" -> newKey(out);
      case "authority" -> {
        Path folder = Path.of(required(line, "out"));
        CertificateIssuer.newAuthority(folder, days(line));
        out.println("wrote " + folder);
      }
      case "issue" -> {
        Path folder = Path.of(required(line, "out"));
        CertificateIssuer.issue(
            Path.of(required(line, "authority")),
            required(line, "vm"),
            List.of(required(line, "ip").split(",", -1)),
            days(line),
            folder);
        out.println("wrote " + folder);
      }
      default -> throw new UsageException("unknown verb '" + words.get(0) + "'\n" + VERBS);
    }
    return ExitCodes.DONE;
  }

  private static void newKey(PrintStream out) {
    byte[] bytes = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(bytes);
    String key = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    out.println("key     " + key);
    out.println("sha256  " + Hashes.sha256Hex(key));
  }

  private static String required(CommandLine line, String name) {
    String value = line.getOptionValue(name);
    if (value == null || value.isEmpty()) {
      throw new UsageException("--" + name + " is missing");
    }
    return value;
  }

  private static int days(CommandLine line) {
    String text = line.getOptionValue("days", "365");
    try {
      int days = Integer.parseInt(text);
      if (days >= 1 && days <= MAX_DAYS) {
        return days;
      }
    } catch (NumberFormatException e) {
      // Said below, with what is allowed.
    }
    throw new UsageException("--days must be from 1 to " + MAX_DAYS + ", not '" + text + "'");
  }
}
