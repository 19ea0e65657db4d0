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
 * A backend server of a service: a VM that runs a model engine, a plain service or a store.
 *
 * @param service the service that it belongs to
 * @param address IP address and port, for example {@code 10.0.0.7:8000}
 * @param maxConcurrent maximum number of requests that it runs at once
 * @param checksFences whether it rejects orders with an outdated fencing token
 * @param draining true if it must get no new requests
 */
public record BackendServer(
    @JsonProperty(required = true) String service,
    @JsonProperty(required = true) String address,
    @JsonProperty(required = true) String dataCentre,
    int maxConcurrent,
    boolean checksFences,
    boolean draining)
    implements Spec {

  @Override
  public void check() {
    SpecChecks.name("service", service);
    SpecChecks.matches(
        "address", address, "[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}", "an address such as 10.0.0.7:8000");
    SpecChecks.name("dataCentre", dataCentre);
    SpecChecks.range("maxConcurrent", maxConcurrent, 1, 100_000);
  }

  @Override
  public List<Reference> references() {
    return List.of(new Reference(Kind.SERVICE, service));
  }
}
