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

import java.util.Map;

/**
 * A backend server as it announces itself.
 *
 * @param id names the server; another start of it may have the same id
 * @param leaving true once it announced that it will end
 * @param coldMs how much longer it is slow, from its start
 * @param weightVersions the version of the weights of each model it has
 * @param startedMs when this start of the server began, by its time of day; 0 if it does not tell
 */
public record ServerEntry(
    String id,
    String service,
    String address,
    String dataCentre,
    int slots,
    boolean leaving,
    long coldMs,
    Map<String, Long> weightVersions,
    long startedMs) {
  public ServerEntry {
    weightVersions = Map.copyOf(weightVersions);
  }

  /** Creates an entry of a server that does not tell when it started. */
  public ServerEntry(
      String id,
      String service,
      String address,
      String dataCentre,
      int slots,
      boolean leaving,
      long coldMs,
      Map<String, Long> weightVersions) {
    this(id, service, address, dataCentre, slots, leaving, coldMs, weightVersions, 0);
  }

  /** Returns this entry as that of another start. */
  ServerEntry startedAt(long otherStartedMs) {
    return new ServerEntry(
        id, service, address, dataCentre, slots, leaving, coldMs, weightVersions, otherStartedMs);
  }

  /** Returns true if the server is known to have started again since another of its entries. */
  boolean isLaterStartThan(ServerEntry other) {
    return startedMs > other.startedMs && other.startedMs > 0;
  }
}
