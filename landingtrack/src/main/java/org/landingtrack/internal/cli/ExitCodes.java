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

/** Defines the exit codes of all commands. */
public final class ExitCodes {
  /** The command succeeded. */
  public static final int DONE = 0;

  /** The command line was valid, but the command failed. */
  public static final int FAILED = 1;

  /** The command line or a settings file is invalid. */
  public static final int USAGE = 2;

  private ExitCodes() {}
}
