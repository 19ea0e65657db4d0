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
 * Reads the block events of backend servers: an engine reports changes of its prefix cache, a store
 * VM changes of its manifests. Events may be late and may be missing.
 */
public interface CacheFeed {
  /**
   * A change of one block.
   *
   * @param group key of the first block of the prompt
   * @param key key of the block
   * @param manifestId id of the manifest with the block; empty for an engine
   * @param held true if the server holds the block, false if it no longer does
   */
  record Event(String group, String key, String manifestId, boolean held) {}

  /**
   * A batch of events.
   *
   * @param sequence sequence number of the last event
   * @param gap true if events after the requested number are missing, so that a listing is needed
   * @param weightVersion version of the weights that an engine runs; empty for a store VM
   */
  record Events(long sequence, boolean gap, List<Event> events, String weightVersion) {}

  /**
   * Returns the events after a sequence number. Waits up to {@code waitMs} for one if there are
   * none.
   *
   * @throws CacheFeedException if the server does not answer or answers with an error
   */
  Events events(String address, long afterSequence, long waitMs) throws CacheFeedException;

  /**
   * Lists all blocks that the server holds.
   *
   * @throws CacheFeedException if the server does not answer or answers with an error
   */
  Events listing(String address) throws CacheFeedException;

  /** Thrown when a server does not answer or answers with an error. */
  final class CacheFeedException extends Exception {
    private static final long serialVersionUID = 1L;

    public CacheFeedException(String message) {
      super(message);
    }
  }
}
