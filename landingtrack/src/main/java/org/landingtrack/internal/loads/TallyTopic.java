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
package org.landingtrack.internal.loads;

import org.jspecify.annotations.Nullable;

/** Topics of the counters that VMs share. A VM ignores topics that it does not know. */
public enum TallyTopic {
  /** Demand and capacity of a service; {@link Tally#key} is the hash of its name. */
  SERVICES(1, 64),
  /** Outcomes of requests at a backend server; the key is the hash of its incarnation. */
  SERVERS(2, 128),
  /** Requests and retries of a service; the key is the hash of its name. */
  RETRIES(4, 64),
  /** Ended incarnations of backend servers; the key is the hash of the incarnation. */
  ENDED_INCARNATIONS(5, 128);

  private final int code;
  private final int maxKeys;

  TallyTopic(int code, int mostKeys) {
    this.code = code;
    this.maxKeys = mostKeys;
  }

  /** Returns the number of the topic in messages. */
  int code() {
    return code;
  }

  /**
   * Returns the largest number of keys in one message; the keys with the largest first counters are
   * sent.
   */
  int maxKeys() {
    return maxKeys;
  }

  /** Returns the topic with a code, or null if this release does not know it. */
  static @Nullable TallyTopic of(int code) {
    for (TallyTopic topic : values()) {
      if (topic.code == code) {
        return topic;
      }
    }
    return null;
  }
}
