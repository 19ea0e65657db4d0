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
package org.landingtrack.internal.directory;

import java.util.List;

/**
 * What a backend server tells about its blocks: an engine about its cache, a store VM about its
 * manifests. Events come late and with gaps.
 */
public interface CacheFeed {
  /** One event. */
  record Event(String group, String key, String kept, boolean held) {}

  /**
   * Some events.
   *
   * @param sequence the last event's number
   * @param gap true if events after the asked one are missing; a listing must follow
   * @param weightVersion the version that an engine has; empty for a store VM
   */
  record Events(long sequence, boolean gap, List<Event> events, String weightVersion) {}

  /** Returns events after a number, waiting for some. Throws if the server does not answer. */
  Events events(String address, long after, long waitMs) throws CacheFeedException;

  /** Lists everything that the server holds. */
  Events listing(String address) throws CacheFeedException;

  /** The server does not answer. */
  final class CacheFeedException extends Exception {
    private static final long serialVersionUID = 1L;

    public CacheFeedException(String message) {
      super(message);
    }
  }
}
