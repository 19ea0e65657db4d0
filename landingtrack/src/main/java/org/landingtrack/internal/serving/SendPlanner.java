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
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.serving.ServerChooser.Choice;

/**
 * Plans the sends of one request: the server, the weights that it must have, the scope of kept
 * state, and the parts that are moved.
 */
final class SendPlanner {
  private final CallerRequest request;
  private final Route route;
  private final @Nullable Team team;
  private final String service;
  private final ServingState state;
  private final ServingOptions options;
  private final EventLoop loop;

  /**
   * Where a send goes.
   *
   * @param candidates servers that could have had it
   * @param keptTokens tokens of the prompt that the server probably keeps or fetches
   * @param costMs the expected time until the answer starts
   * @param priority what the server is told, or less than 0 for nothing
   * @param weights the version that the server must have, or 0 where it does not matter
   */
  record SendPlan(
      Backend backend,
      ServiceInfo info,
      int candidates,
      int keptTokens,
      double costMs,
      int priority,
      long weights,
      String scope,
      PartMoves moves) {

    /** Returns the tokens for which an engine has room; 0 where the server is no engine. */
    int cacheTokens() {
      return info.engine() == null ? 0 : info.engine().cacheTokens();
    }
  }

  SendPlanner(
      Serving serving, CallerRequest request, Route route, @Nullable Team team, String service) {
    this.request = request;
    this.route = route;
    this.team = team;
    this.service = service;
    this.state = serving.state();
    this.options = serving.options();
    this.loop = serving.loop();
  }

  /** Returns the plan of the next send, or null if no server may have the request. */
  @Nullable SendPlan plan(Set<String> tried) {
    ServingConfig config = state.config();
    ServiceInfo info = config == null ? null : config.service(service);
    if (info == null) {
      return null;
    }
    List<Backend> usable = state.servers().usable(service, tried);
    List<Backend> recent = recentEnough(usable, oldestWeights());
    boolean gamble = recent.isEmpty() && !usable.isEmpty();
    Choice choice = ServerChooser.choose(gamble ? usable : recent, query(info));
    if (choice == null) {
      return null;
    }
    long weights = weightsOf(choice.backend(), gamble);
    String scope = scope(weights);
    return new SendPlan(
        choice.backend(),
        info,
        usable.size(),
        choice.keptTokens(),
        choice.costMs(),
        priority(info),
        weights,
        scope,
        moves(info, scope, weights));
  }

  private ServerChooser.Query query(ServiceInfo info) {
    Prompt prompt = request.prompt();
    return new ServerChooser.Query(
        service,
        options.dataCentre(),
        info.engine(),
        info.engine() == null ? null : prompt,
        this::scope,
        state.parts(),
        state.peerLoads(),
        newestWeights(),
        state::rolloutTurn,
        Hashes.placement(request.splitKey()),
        loop.millis());
  }

  private int priority(ServiceInfo info) {
    if (info.engine() == null) {
      return -1;
    }
    return team != null && team.priority() >= 0 ? team.priority() : route.priority();
  }

  /**
   * Kept state is found only under the scope in which it was made: a version of the weights, and
   * the team if it is isolated.
   */
  private String scope(long weights) {
    String version = "v" + weights;
    return team != null && team.isolated() ? version + "-" + team.name() : version;
  }

  private long weightsOf(Backend backend, boolean gamble) {
    Prompt prompt = request.prompt();
    if (prompt == null) {
      return 0;
    }
    return gamble ? newestWeights().orElse(0) : backend.weights(prompt.model());
  }

  /** Parts are moved only under a version that the server must have. */
  private PartMoves moves(ServiceInfo info, String scope, long weights) {
    Prompt prompt = request.prompt();
    if (prompt == null || info.engine() == null || weights == 0) {
      return PartMoves.NONE;
    }
    return state.parts().plan(scope, prompt);
  }

  OptionalLong newestWeights() {
    Prompt prompt = request.prompt();
    return prompt == null ? OptionalLong.empty() : state.newestWeights(prompt.model());
  }

  private OptionalLong oldestWeights() {
    Prompt prompt = request.prompt();
    return prompt == null
        ? OptionalLong.empty()
        : state.oldestUsableWeights(prompt.model(), options.oldWeightsMs());
  }

  /**
   * Returns the servers whose weights are not too old. What is known of them may lag; where none is
   * left, any may be asked for the newest version, which it refuses if it has another.
   */
  private List<Backend> recentEnough(List<Backend> usable, OptionalLong oldest) {
    Prompt prompt = request.prompt();
    if (prompt == null || oldest.isEmpty()) {
      return usable;
    }
    List<Backend> recent = new ArrayList<>();
    for (Backend backend : usable) {
      if (backend.weights(prompt.model()) >= oldest.getAsLong()) {
        recent.add(backend);
      }
    }
    return recent;
  }
}
