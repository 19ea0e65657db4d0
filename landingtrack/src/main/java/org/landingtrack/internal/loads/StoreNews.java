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

import java.util.List;

/**
 * What a store of prompt parts answered, handed on by a VM that asked it.
 *
 * @param address the store
 * @param epoch differs from start to start of the store
 * @param serversMs when the store answered, on the clock that all backend servers share
 * @param from changes up to this number are not told here
 * @param next the number of the last change that the store had
 * @param changes changes between the two, some of them may be missing
 */
public record StoreNews(
    String address, long epoch, long serversMs, long from, long next, List<Change> changes) {
  public StoreNews {
    changes = List.copyOf(changes);
  }

  /**
   * A part that became whole in a store, or went.
   *
   * @param key scope and part
   */
  public record Change(boolean kept, String key, int tokens) {}
}
