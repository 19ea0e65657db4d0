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
import org.jspecify.annotations.Nullable;

/**
 * A backend server as registered in the platform's store.
 *
 * @param id identifies the server; a later incarnation of it may have the same id
 * @param slots number of requests that the server runs at the same time
 * @param leaving true once it announced that it leaves
 * @param coldMs how much longer the server is slow after its start
 * @param weightVersions the weights version of each model that it has
 * @param startedMs when this incarnation started, by the server's wall clock; 0 if it does not
 *     report it
 * @param softwareVersion the version of the software that this incarnation runs, or null if it is
 *     not known
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
    long startedMs,
    @Nullable String softwareVersion) {
  public ServerEntry {
    weightVersions = Map.copyOf(weightVersions);
  }

  /** Creates an entry of a server that does not report its software version. */
  public ServerEntry(
      String id,
      String service,
      String address,
      String dataCentre,
      int slots,
      boolean leaving,
      long coldMs,
      Map<String, Long> weightVersions,
      long startedMs) {
    this(id, service, address, dataCentre, slots, leaving, coldMs, weightVersions, startedMs, "");
  }

  /** Creates an entry of a server that reports neither when it started nor its software version. */
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

  /**
   * Returns this entry with another start time, as that of another incarnation, whose software
   * version is not known.
   */
  ServerEntry withStartedMs(long newStartedMs) {
    return new ServerEntry(
        id,
        service,
        address,
        dataCentre,
        slots,
        leaving,
        coldMs,
        weightVersions,
        newStartedMs,
        null);
  }

  /**
   * Returns true if this entry is known to be of a later incarnation than another entry of the
   * server.
   */
  boolean isLaterIncarnationThan(ServerEntry other) {
    return startedMs > other.startedMs && other.startedMs > 0;
  }
}
