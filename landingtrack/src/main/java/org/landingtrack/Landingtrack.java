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
package org.landingtrack;

import org.landingtrack.internal.cli.CommandLineProgram;

/**
 * Starts the program that the command line names; all programs are in one executable.
 *
 * <pre>{@code
 * landingtrack gateway --settings gateway.json
 * }</pre>
 *
 * @since 0.1
 */
public final class Landingtrack {
  private Landingtrack() {}

  public static void main(String[] args) {
    int code = new CommandLineProgram(System.out, System.err).run(args);
    // A process that was told to stop is already shutting down, and a call of exit would block in
    // its own shutdown.
    if (code != 0 || !isProcess(args)) {
      System.exit(code);
    }
  }

  private static boolean isProcess(String[] args) {
    return args.length > 0 && (args[0].equals("gateway") || args[0].equals("controller"));
  }
}
