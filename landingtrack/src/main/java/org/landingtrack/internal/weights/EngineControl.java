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

/** Reports of engines and orders to them. Blocks for a bounded time; thread-safe. */
public interface EngineControl {
  /**
   * An engine.
   *
   * @param startedMs when its latest known start began, by its time of day; 0 if that is not known
   */
  record Engine(String id, String address, long startedMs) {}

  /**
   * What an engine says of itself.
   *
   * @param weightVersions the version of each model's weights
   * @param busy an order is under way
   * @param ordersTaken counts the orders that it took since its start
   * @param running requests that it runs
   * @param startedMs when the start that reports began, by its time of day; 0 if it does not tell
   */
  record Report(
      Map<String, Long> weightVersions,
      boolean busy,
      long ordersTaken,
      int running,
      long startedMs) {
    public Report {
      weightVersions = Map.copyOf(weightVersions);
    }
  }

  /**
   * An order to load weights.
   *
   * @param ordersTaken the engine takes the order only if it took just so many before
   * @param holder who gives the order
   * @param epoch fencing token
   */
  record LoadOrder(String model, long version, long ordersTaken, String holder, long epoch) {}

  /** What became of an order. */
  enum Outcome {
    /** It is under way. */
    TAKEN,
    /** The engine has these weights already. */
    HOLDS_ALREADY,
    /** It was not taken and never will be. */
    REFUSED,
    /** No answer came: it may be taken, also later. */
    UNKNOWN
  }

  /** Asks an engine for its state; throws {@link EngineSilentException} if it does not answer. */
  Report report(Engine engine);

  /** Gives an order. */
  Outcome load(Engine engine, LoadOrder order);

  /** An engine did not answer. */
  final class EngineSilentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public EngineSilentException(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
