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
package org.landingtrack.internal.engine;

/** How an attempt to call a plain HTTP service ended. */
public sealed interface PlainOutcome {
  /** The answer is complete; its status may be an error of the service. */
  record Whole(int status, String contentType, byte[] body) implements PlainOutcome {}

  /**
   * It is certain that the server ran nothing, so a retry is safe.
   *
   * @param isFault true if the server looks broken because it could not be reached
   */
  record NotRun(String detail, boolean isFault) implements PlainOutcome {}

  /** In doubt: it is not known whether the call ran, or its answer cannot be passed on. */
  record Unknown(String detail) implements PlainOutcome {}
}
