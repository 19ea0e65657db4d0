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

import org.landingtrack.internal.routing.LoadReport;

/** Receives the tokens and load reports of a running attempt, in order. Called by one thread. */
public interface TokenSink {
  /**
   * Receives the next token.
   *
   * @param offset index of the token in the answer; offsets are contiguous
   */
  void token(int offset, String text);

  /** Receives a load report of the engine that came with the answer. */
  void load(LoadReport report);
}
