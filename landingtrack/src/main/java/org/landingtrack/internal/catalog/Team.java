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

/**
 * A team (a customer) whose callers send requests.
 *
 * @param keySha256 SHA-256 in hex of each API key of its callers
 * @param requestsPerSecond sustained rate limit over all gateways
 * @param burst requests that may arrive at once
 * @param concurrency maximum number of requests in flight over all gateways
 * @param weight share of an overloaded service, relative to other teams
 */
public record Team(
    @JsonProperty(required = true) List<String> keySha256,
    double requestsPerSecond,
    int burst,
    int concurrency,
    double weight)
    implements Spec {

  @Override
  public void check() {
    for (String hash : keySha256) {
      SpecChecks.matches("keySha256", hash, "[0-9a-f]{64}", "64 hex digits");
    }
    SpecChecks.range("requestsPerSecond", requestsPerSecond, 0.1, 100_000);
    SpecChecks.range("burst", burst, 1, 100_000);
    SpecChecks.range("concurrency", concurrency, 1, 100_000);
    SpecChecks.range("weight", weight, 0.01, 1_000);
  }

  @Override
  public List<Reference> references() {
    return List.of();
  }
}
