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

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.dispatch.RetryBudget;

/**
 * What this VM believes: the configuration in force, the backend servers and the weights that were
 * named. Used on the event loop only.
 */
public final class ServingState {
  private final EventLoop loop;
  private final ServerBook servers;
  private final DecisionLog log;
  private final Map<String, NamedWeights> weights = new HashMap<>();
  private final Map<String, RetryBudget> retries = new HashMap<>();
  private final double maxSavedRetries;
  private @Nullable ServingConfig config;

  /** A version of a model's weights, and since when it is known here. */
  public record NamedWeights(long version, long sinceMs) {}

  /**
   * Creates a state that knows nothing yet.
   *
   * @param maxSavedRetries retries of a service that this VM may save up
   */
  public ServingState(
      EventLoop loop, ServerBook servers, DecisionLog log, double maxSavedRetries) {
    this.loop = loop;
    this.servers = servers;
    this.log = log;
    this.maxSavedRetries = maxSavedRetries;
  }

  /** Takes a configuration unless a newer one is in force. */
  public void configure(ServingConfig next, long revision) {
    ServingConfig current = config;
    if (current != null && next.version() <= current.version()) {
      return;
    }
    config = next;
    log.config(next.version(), revision);
  }

  /** Takes a named version of a model's weights unless a newer one is known. */
  public void nameWeights(String model, long version, long revision) {
    NamedWeights known = weights.get(model);
    if (known != null && known.version() >= version) {
      return;
    }
    weights.put(model, new NamedWeights(version, loop.millis()));
    log.weights(model, version, revision);
  }

  /** Returns true once requests can be served. */
  public boolean ready() {
    return config != null && servers.known();
  }

  /** Returns the configuration in force, or null if none is known. */
  public @Nullable ServingConfig config() {
    return config;
  }

  public ServerBook servers() {
    return servers;
  }

  /** Returns all named weights by model. */
  public Map<String, NamedWeights> weights() {
    return weights;
  }

  OptionalLong newestWeights(String model) {
    NamedWeights known = weights.get(model);
    return known == null ? OptionalLong.empty() : OptionalLong.of(known.version());
  }

  RetryBudget retries(String service) {
    return retries.computeIfAbsent(service, name -> new RetryBudget(maxSavedRetries));
  }
}
