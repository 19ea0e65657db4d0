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
package org.landingtrack.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Catalog.NamedBackendServer;
import org.landingtrack.internal.catalog.Kind;

/** Holds the {@link ServerState} of each backend server in the catalog. Thread-safe. */
public final class ServerTable {
  private final Map<String, ServerState> states = new ConcurrentHashMap<>();
  private volatile Set<String> leaving = Set.of();

  /** Sets the names of all servers that are leaving; they get no new requests. */
  public void leaving(Set<String> names) {
    leaving = Set.copyOf(names);
  }

  /** Returns the number of servers that are leaving. */
  public int leavingCount() {
    return leaving.size();
  }

  /** Returns the state of a server; creates it if the server or its configuration is new. */
  public ServerState state(NamedBackendServer server) {
    return states.compute(
        server.name(),
        (name, existing) -> {
          if (existing == null) {
            return new ServerState(server);
          }
          boolean same = existing.server().spec().equals(server.spec());
          return same ? existing : existing.withConfiguration(server);
        });
  }

  /** Finds the state of a server by name. */
  public Optional<ServerState> find(String name) {
    return Optional.ofNullable(states.get(name));
  }

  /**
   * Returns the servers of a service that may get new requests: those that are neither draining nor
   * leaving nor excluded. Ejected servers are included.
   */
  public List<ServerState> available(Catalog catalog, String service, Set<String> excluded) {
    List<ServerState> available = new ArrayList<>();
    for (NamedBackendServer server : catalog.servers(service)) {
      boolean isLeaving = server.spec().draining() || leaving.contains(server.name());
      if (isLeaving || excluded.contains(server.name())) {
        continue;
      }
      available.add(state(server));
    }
    return available;
  }

  /** Removes the states of servers that are no longer in the catalog. */
  public void retain(Catalog catalog) {
    Map<String, ServerState> removed = new HashMap<>(states);
    removed.keySet().removeAll(catalog.ofKind(Kind.BACKEND_SERVER).keySet());
    states.keySet().removeAll(removed.keySet());
  }
}
