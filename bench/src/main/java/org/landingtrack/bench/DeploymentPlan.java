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
package org.landingtrack.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Json;
import org.landingtrack.standins.EngineOptions;
import org.landingtrack.standins.StoreServer;

/**
 * The size and options of a {@link Deployment}. Immutable.
 *
 * <pre>{@code
 * DeploymentPlan plan = new DeploymentPlan.Builder().setGateways(2).setEngines(4).build();
 * }</pre>
 */
public final class DeploymentPlan {
  private final Builder builder;

  private DeploymentPlan(Builder builder) {
    this.builder = builder;
  }

  int controllers() {
    return builder.controllers;
  }

  int gateways() {
    return builder.gateways;
  }

  int engines() {
    return builder.engines;
  }

  int stores() {
    return builder.stores;
  }

  int plainServers() {
    return builder.plainServers;
  }

  EngineOptions engine() {
    return builder.engine;
  }

  StoreServer.Options store() {
    return builder.store;
  }

  String policy() {
    return builder.policy;
  }

  long seed() {
    return builder.seed;
  }

  long probeMs() {
    return builder.probeMs;
  }

  /** Returns the data centre of the VM or backend server with an index, assigned round-robin. */
  String dataCentre(int index) {
    return "dc-" + (1 + index % builder.dataCentres);
  }

  boolean tls() {
    return builder.tls;
  }

  /** Returns the API key of a team. */
  public static String teamKey(String team) {
    return "key-of-" + team;
  }

  /** Returns the configuration objects, except the backend servers. */
  List<ObjectNode> objects() {
    List<ObjectNode> objects = new ArrayList<>();
    for (String team : builder.teams) {
      ObjectNode spec = addObject(objects, "team", team);
      spec.putArray("keySha256").add(Hashes.sha256Hex(teamKey(team)));
      spec.put("requestsPerSecond", builder.teamRate).put("burst", builder.teamRate);
      spec.put("concurrency", 10_000).put("weight", 1);
    }
    addObject(objects, "model", "m").put("contextTokens", 1_000_000).put("kvBytesPerToken", 1_000);
    for (String version : builder.weightVersions) {
      addObject(objects, "weight-version", version).put("model", "m").put("source", "w/" + version);
    }
    service(addObject(objects, "service", "kept"), "store", 0);
    ObjectNode llm =
        service(addObject(objects, "service", Deployment.LLM), "model", builder.maxQueue);
    llm.put("weightVersion", builder.engine.weightVersion());
    llm.put("weightTtft", builder.weightTtft);
    llm.put("weightRecompute", builder.weightRecompute);
    llm.put("weightLink", builder.weightLink);
    llm.put("linkBytesPerSecond", builder.linkBytesPerSecond);
    if (builder.stores > 0) {
      llm.put("store", "kept");
    }
    service(addObject(objects, "service", Deployment.PORTAL), "plain", 100);
    for (String team : builder.teams) {
      rule(addObject(objects, "rule", team + "-llm"), team, Deployment.LLM);
      rule(addObject(objects, "rule", team + "-portal"), team, Deployment.PORTAL);
    }
    return objects;
  }

  private static ObjectNode addObject(List<ObjectNode> objects, String kind, String name) {
    ObjectNode object = Json.LENIENT.createObjectNode();
    object.put("kind", kind).put("name", name);
    objects.add(object);
    return object.putObject("spec");
  }

  private static ObjectNode service(ObjectNode spec, String type, int maxQueue) {
    return spec.put("type", type)
        .put("weightTtft", 1)
        .put("weightRecompute", 0)
        .put("weightLink", 0)
        .put("linkBytesPerSecond", 0)
        .put("maxQueue", maxQueue)
        .put("retryPercent", 20);
  }

  private static void rule(ObjectNode spec, String team, String service) {
    spec.put("team", team).put("service", service).put("maxPriority", 3);
  }

  /** Builder of a plan. Not thread-safe. */
  public static final class Builder {
    private int controllers = 2;
    private int gateways = 2;
    private int engines = 2;
    private int stores;
    private int plainServers;
    private EngineOptions engine = EngineOptions.forTests("v1");
    private StoreServer.Options store =
        new StoreServer.Options(4_000_000_000L, 1_000_000_000L, 1_000_000, 500_000);
    private List<String> teams = List.of("quotes", "parcels");
    private List<String> weightVersions = List.of("v1", "v2");
    private String policy = "landingtrack";
    private long seed = 1;
    private long probeMs = 200;
    private boolean tls;
    private int teamRate = 10_000;
    private int dataCentres = 1;
    private int maxQueue = 200;
    private double weightTtft = 1;
    private double weightRecompute = 0.002;
    private double weightLink = 0.02;
    private long linkBytesPerSecond = 2_000_000_000L;

    public Builder setControllers(int number) {
      controllers = number;
      return this;
    }

    public Builder setGateways(int number) {
      gateways = number;
      return this;
    }

    public Builder setEngines(int number) {
      engines = number;
      return this;
    }

    public Builder setStores(int number) {
      stores = number;
      return this;
    }

    public Builder setPlainServers(int number) {
      plainServers = number;
      return this;
    }

    public Builder setEngine(EngineOptions options) {
      engine = options;
      return this;
    }

    public Builder setStore(StoreServer.Options options) {
      store = options;
      return this;
    }

    public Builder setTeams(List<String> names) {
      teams = List.copyOf(names);
      return this;
    }

    public Builder setPolicy(String name) {
      policy = name;
      return this;
    }

    public Builder setSeed(long value) {
      seed = value;
      return this;
    }

    public Builder setMaxQueue(int number) {
      maxQueue = number;
      return this;
    }

    /** Sets the rate limit of each team, in requests per second; also its burst. */
    public Builder setTeamRate(int requestsPerSecond) {
      teamRate = requestsPerSecond;
      return this;
    }

    /**
     * Sets the number of data centres; VMs and backend servers are spread over them round-robin.
     */
    public Builder setDataCentres(int number) {
      dataCentres = number;
      return this;
    }

    /** Sets whether connections between processes and from operators must use TLS. */
    public Builder setTls(boolean on) {
      tls = on;
      return this;
    }

    /** Sets the cost weights of the model service and its link budget in bytes per second. */
    public Builder setCostWeights(double ttft, double recompute, double link, long bytesPerSecond) {
      weightTtft = ttft;
      weightRecompute = recompute;
      weightLink = link;
      linkBytesPerSecond = bytesPerSecond;
      return this;
    }

    public DeploymentPlan build() {
      if (controllers < 1 || gateways < 1) {
        throw new IllegalArgumentException(
            "controllers and gateways must be at least 1: " + controllers + ", " + gateways);
      }
      return new DeploymentPlan(this);
    }
  }
}
