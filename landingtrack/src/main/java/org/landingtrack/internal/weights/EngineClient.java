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
package org.landingtrack.internal.weights;

import org.landingtrack.internal.weights.RolloutPlanner.EngineState;

/**
 * Client of the model engines that a {@link DataCentreRollout} updates: fetches their state and
 * orders them to load weights. Implementations are thread-safe.
 */
public interface EngineClient {
  /** Fetches the state of an engine; an engine that does not answer is returned as unreachable. */
  EngineState state(String name, String address);

  /**
   * Orders an engine to load a weight version. Idempotent: an engine that already has the version,
   * or is loading it, does nothing.
   *
   * @param epoch fencing token; an engine that checks fencing tokens rejects a token lower than one
   *     that it has seen
   * @return true if the engine accepted the order; false if it rejected it or did not answer
   */
  boolean load(String address, String version, String source, long epoch);
}
