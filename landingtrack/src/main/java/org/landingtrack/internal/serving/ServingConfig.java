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

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** A version of the operators' configuration, indexed for look-ups. Immutable and thread-safe. */
public final class ServingConfig {
  private final long version;
  private final int mostUrgentPriority;
  private final List<Route> routes;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceInfo> services;
  private final ApiKeys keys;
  private final Map<String, Long> minTargetLatencyMs = new HashMap<>();
  private final CallerLimits callerLimits;
  private final List<PartStore.StoreInfo> partStores;

  /**
   * Creates a configuration.
   *
   * @param partStores the part stores
   */
  public ServingConfig(
      long version,
      List<Route> routes,
      Map<String, ServiceInfo> services,
      ApiKeys keys,
      CallerLimits limits,
      List<PartStore.StoreInfo> partStores) {
    this.version = version;
    this.routes = List.copyOf(routes);
    this.mostUrgentPriority = routes.stream().mapToInt(Route::priority).min().orElse(0);
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
      for (Route.Target target : route.targets()) {
        minTargetLatencyMs.merge(target.service(), route.targetLatencyMs(), Math::min);
      }
    }
    Comparator<Route> longestFirst = Comparator.comparingInt(route -> -route.pathPrefix().length());
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    this.services = Map.copyOf(services);
    this.keys = keys;
    this.callerLimits = limits;
    this.partStores = List.copyOf(partStores);
  }

  /** Returns the version; a higher one is newer. */
  public long version() {
    return version;
  }

  /**
   * Returns the priority of the most urgent routes: the lowest number, 0 if there are no routes.
   */
  public int mostUrgentPriority() {
    return mostUrgentPriority;
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routes;
  }

  /** Returns the route with the longest path prefix that matches, if any. */
  public Optional<Route> route(String host, String path) {
    for (Route route : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns a service by its name, or null if it is not configured. */
  public @Nullable ServiceInfo service(String name) {
    return services.get(name);
  }

  /** Returns all services by name. */
  public Map<String, ServiceInfo> services() {
    return services;
  }

  /** Returns the shortest target latency among a service's routes in milliseconds; 0 if none. */
  long minTargetLatencyMs(String service) {
    return minTargetLatencyMs.getOrDefault(service, 0L);
  }

  /** Returns the team that an API key belongs to. */
  public Optional<Team> team(@Nullable String key) {
    return keys.team(key);
  }

  /** Returns the part stores. */
  public List<PartStore.StoreInfo> partStores() {
    return partStores;
  }

  /** Returns true if callers need an API key, except on public routes. */
  public boolean requiresApiKeys() {
    return keys.required();
  }

  /** Returns the limits for requests and connections of callers. */
  public CallerLimits callerLimits() {
    return callerLimits;
  }
}
