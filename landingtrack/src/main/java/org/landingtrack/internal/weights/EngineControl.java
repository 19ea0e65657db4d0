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
package org.landingtrack.internal.weights;

import java.util.Map;

/**
 * Client of model engines: fetches their state and orders them to load weights. Calls block for a
 * bounded time. Implementations are thread-safe.
 */
public interface EngineControl {
  /**
   * A model engine.
   *
   * @param startedMs when its latest known incarnation started, in milliseconds since the Unix
   *     epoch by the engine's wall clock; 0 if unknown
   */
  record Engine(String id, String address, long startedMs) {}

  /**
   * The state that an engine reports.
   *
   * @param weightVersions version of the loaded weights by model
   * @param busy true while the engine carries out an order
   * @param ordersTaken number of orders that it has accepted since it started
   * @param runningRequests number of requests in flight
   * @param startedMs when the incarnation that reports started, in milliseconds since the Unix
   *     epoch by the engine's wall clock; 0 if the engine does not report it
   */
  record Report(
      Map<String, Long> weightVersions,
      boolean busy,
      long ordersTaken,
      int runningRequests,
      long startedMs) {
    public Report {
      weightVersions = Map.copyOf(weightVersions);
    }
  }

  /**
   * An order to load a version of a model's weights.
   *
   * @param expectedOrdersTaken expected number of orders that the engine has accepted; the engine
   *     rejects the order if its number differs
   * @param holder name of the lease holder that sends the order
   * @param epoch fencing token of the lease
   */
  record LoadOrder(
      String model, long version, long expectedOrdersTaken, String holder, long epoch) {}

  /** Outcome of an order. */
  enum Outcome {
    /** The engine accepted the order and carries it out. */
    TAKEN,
    /** The engine already has these weights. */
    HOLDS_ALREADY,
    /** The engine rejected the order and will not carry it out later. */
    REFUSED,
    /** No answer arrived: the engine may carry out the order, now or later. */
    UNKNOWN
  }

  /**
   * Fetches the state of an engine.
   *
   * @throws EngineUnavailableException if the engine does not answer
   */
  Report report(Engine engine);

  /** Sends a load order and returns its outcome. */
  Outcome load(Engine engine, LoadOrder order);

  /** Thrown when an engine does not answer a request for its state. */
  final class EngineUnavailableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public EngineUnavailableException(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
