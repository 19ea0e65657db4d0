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
package org.landingtrack.internal.serving;

import org.jspecify.annotations.Nullable;

/**
 * A service as configured.
 *
 * @param connectionLimit connections that one of its servers takes from all callers together
 * @param engine set if its servers are model engines
 * @param coldPerSecond requests a second that one of its servers bears while it is cold; 0 if they
 *     are never cold
 * @param coldStartMs how long a server stays cold after a start
 */
public record ServiceInfo(
    String name,
    String healthPath,
    int connectionLimit,
    @Nullable EngineInfo engine,
    double coldPerSecond,
    long coldStartMs) {

  /** Creates a service whose servers are never cold. */
  public ServiceInfo(
      String name, String healthPath, int connectionLimit, @Nullable EngineInfo engine) {
    this(name, healthPath, connectionLimit, engine, 0, 0);
  }

  /**
   * What all engines of a service have.
   *
   * @param slots requests that run at once
   * @param cacheTokens tokens that running requests and kept parts share
   * @param tokenBytes what one token of kept state takes
   * @param linkMbps what an engine's link for kept state carries, in megabits a second
   */
  public record EngineInfo(int slots, int cacheTokens, double tokenBytes, double linkMbps) {}
}
