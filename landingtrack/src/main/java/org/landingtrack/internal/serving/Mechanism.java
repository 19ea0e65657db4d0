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

/**
 * A mechanism for overload and failures. Operators can turn it off with the setting {@code
 * mechanisms.off} if it misjudges their load. Each acts only where the configuration and the load
 * call for it.
 */
public enum Mechanism {
  /** Admits, delays or refuses requests by the demand for a service and its capacity on all VMs. */
  FLEET_ADMISSION("fleetAdmission"),
  /** Ejects backend servers by the outcomes of requests that all VMs see. */
  SHARED_HEALTH("sharedHealth"),
  /** Shares the retry budget of a service among all VMs by need. */
  FLEET_RETRIES("fleetRetries"),
  /**
   * Bounds the buffers of a VM for slow callers and servers, and sheds load that it cannot serve.
   */
  VM_PROTECTION("vmProtection");

  private final String text;

  Mechanism(String text) {
    this.text = text;
  }

  /** Returns the name that settings, logs and metrics use. */
  public String text() {
    return text;
  }

  /** Returns the mechanism with a name in settings. */
  public static Mechanism of(String text) {
    for (Mechanism mechanism : values()) {
      if (mechanism.text.equals(text)) {
        return mechanism;
      }
    }
    throw new IllegalArgumentException(
        "mechanism must be fleetAdmission, sharedHealth, fleetRetries or vmProtection, but is "
            + text);
  }
}
