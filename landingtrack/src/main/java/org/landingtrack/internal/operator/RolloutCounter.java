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
package org.landingtrack.internal.operator;

/** Counts the processes in which a revision of the configuration is in force. */
@FunctionalInterface
public interface RolloutCounter {
  /** Asks all live controllers about their own revision and those of their gateways. */
  Count count(long revision);

  /**
   * The progress of a rollout.
   *
   * @param inForce live processes in which the revision, or a later one, is in force
   * @param live live processes
   */
  record Count(int inForce, int live) {}
}
