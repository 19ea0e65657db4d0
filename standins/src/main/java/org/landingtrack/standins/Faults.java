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
package org.landingtrack.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.landingtrack.internal.base.Json;

/**
 * Faults that one stand-in injects. Each has a name and a number (a count, a duration in
 * milliseconds or another quantity); 0 turns it off. {@code POST /faults} sets those that its JSON
 * object names. Thread-safe.
 */
public final class Faults {
  private final Map<String, Double> values = new ConcurrentHashMap<>();

  /** Returns the value of a fault; 0 if it is off. */
  public double get(String name) {
    return values.getOrDefault(name, 0.0);
  }

  /** Returns true if a fault is on. */
  public boolean isOn(String name) {
    return get(name) != 0;
  }

  /** Sets the value of a fault; returns this object. */
  public Faults set(String name, double value) {
    values.put(name, value);
    return this;
  }

  /** Decrements a fault that is a count; returns false if none is left. */
  public boolean tryConsume(String name) {
    boolean[] decremented = {false};
    values.computeIfPresent(
        name,
        (key, remaining) -> {
          if (remaining < 1) {
            return remaining;
          }
          decremented[0] = true;
          return remaining - 1;
        });
    return decremented[0];
  }

  /** Adds the HTTP route that sets faults. */
  void addRoute(JavalinConfig config) {
    config.routes.post("/faults", this::switchFaults);
  }

  private void switchFaults(Context ctx) {
    try {
      JsonNode body = Json.LENIENT.readTree(ctx.body());
      body.properties().forEach(entry -> set(entry.getKey(), entry.getValue().asDouble()));
      ctx.result(values.toString());
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      ctx.status(400).result("the body is not JSON");
    }
  }

  /** Sleeps for the value of a fault in milliseconds. */
  void sleepFor(String name) {
    sleep((long) get(name));
  }

  /** Sleeps for a time; returns early, with the interrupt flag set, if interrupted. */
  static void sleep(long ms) {
    if (ms <= 0) {
      return;
    }
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
