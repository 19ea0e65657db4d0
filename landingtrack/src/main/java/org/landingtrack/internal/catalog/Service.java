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
package org.landingtrack.internal.catalog;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A service that callers name in their requests.
 *
 * @param type {@code model} (chat completions), {@code plain} (HTTP calls) or {@code store} (stored
 *     KV state; not for callers)
 * @param weightVersion the version of the weights for new requests; only for type model
 * @param weightTtft weight in the routing cost of one millisecond of time to first token
 * @param weightRecompute weight in the routing cost of one recomputed token
 * @param weightLink weight in the routing cost of one megabyte sent over a link
 * @param linkBytesPerSecond rate limit for restores and exports of this service in a data centre
 * @param maxQueue maximum number of requests that wait in one gateway
 * @param retryPercent retry budget, in percent of the requests
 * @param store the service of type store that holds this service's KV state; null for none
 */
public record Service(
    @JsonProperty(required = true) String type,
    @Nullable String weightVersion,
    double weightTtft,
    double weightRecompute,
    double weightLink,
    long linkBytesPerSecond,
    int maxQueue,
    double retryPercent,
    @Nullable String store)
    implements Spec {

  @Override
  public void check() {
    SpecChecks.matches("type", type, "model|plain|store", "model, plain or store");
    if (isModel() && weightVersion == null) {
      throw new IllegalArgumentException("weightVersion must be given for type model");
    }
    if (!isModel() && weightVersion != null) {
      throw new IllegalArgumentException("weightVersion is only for type model");
    }
    SpecChecks.range("weightTtft", weightTtft, 0, 1e6);
    SpecChecks.range("weightRecompute", weightRecompute, 0, 1e6);
    SpecChecks.range("weightLink", weightLink, 0, 1e6);
    SpecChecks.range("linkBytesPerSecond", (double) linkBytesPerSecond, 0, 1e13);
    SpecChecks.range("maxQueue", maxQueue, 0, 100_000);
    SpecChecks.range("retryPercent", retryPercent, 0, 100);
  }

  /** Returns true if requests run on model engines. */
  public boolean isModel() {
    return type.equals("model");
  }

  @Override
  public List<Reference> references() {
    if (weightVersion == null) {
      return List.of();
    }
    Reference version = new Reference(Kind.WEIGHT_VERSION, weightVersion);
    return store == null ? List.of(version) : List.of(version, new Reference(Kind.SERVICE, store));
  }
}
