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

import java.util.List;

/**
 * The transfers of KV cache entries between an engine and part stores for one request: which parts
 * of the prompt the engine fetches and saves, and where. Immutable.
 *
 * @param fetch the address of the source store for each part; empty if the part is not fetched
 * @param save the address of the target store for each part; empty if the part is not saved
 * @param fetchDeadlineMs the time on the event loop's clock after which the data of an unfinished
 *     fetch is discarded
 */
public record PartTransfers(List<String> fetch, List<String> save, long fetchDeadlineMs) {
  /** No transfers. */
  public static final PartTransfers NONE = new PartTransfers(List.of(), List.of(), 0);

  public PartTransfers {
    fetch = List.copyOf(fetch);
    save = List.copyOf(save);
  }

  /** Returns true if any part is fetched. */
  public boolean fetches() {
    return fetch.stream().anyMatch(address -> !address.isEmpty());
  }

  /** Returns true if any part is saved. */
  public boolean saves() {
    return save.stream().anyMatch(address -> !address.isEmpty());
  }
}
