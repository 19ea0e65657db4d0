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
 * A configured service. Immutable.
 *
 * @param healthPath the path of its servers' health checks
 * @param connectionLimit the connections that one of its servers accepts from all callers together
 * @param engine the properties of its servers if they are model engines, otherwise null
 * @param coldRequestsPerSecond the requests per second that one of its servers can handle while it
 *     is cold; 0 if they are never cold
 * @param coldStartMs how long a server stays cold after a start
 */
public record ServiceInfo(
    String name,
    String healthPath,
    int connectionLimit,
    @Nullable EngineInfo engine,
    double coldRequestsPerSecond,
    long coldStartMs) {

  /** Creates a service whose servers are never cold. */
  public ServiceInfo(
      String name, String healthPath, int connectionLimit, @Nullable EngineInfo engine) {
    this(name, healthPath, connectionLimit, engine, 0, 0);
  }

  /**
   * Properties that all engines of a service share.
   *
   * @param slots the requests that an engine runs concurrently
   * @param kvCacheTokens the size of the KV cache in tokens, for running requests and cached
   *     prefixes together
   * @param kvBytesPerToken the bytes that one token takes in the KV cache
   * @param linkMbps the bandwidth of an engine's link for KV cache transfers, in megabits per
   *     second
   */
  public record EngineInfo(int slots, int kvCacheTokens, double kvBytesPerToken, double linkMbps) {}
}
