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
package org.landingtrack.internal.streams;

import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;

/**
 * Identifies a stream by the request that began it.
 *
 * @param hash 64-bit hash of the team and the id of that request; of the team as well, since
 *     callers choose the ids
 */
public record StreamKey(long hash) {
  /** Returns the key of a stream, or null if the id of its first request is missing. */
  public static @Nullable StreamKey of(String team, @Nullable String requestId) {
    return requestId == null || requestId.isBlank()
        ? null
        : new StreamKey(Hashes.placement(team, requestId));
  }
}
