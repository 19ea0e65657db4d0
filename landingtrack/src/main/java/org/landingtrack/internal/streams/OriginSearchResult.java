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

/**
 * The origin of a stream and the evidence for it. Immutable.
 *
 * @param origin the origin, or null if it is unknown
 * @param vm address of the VM that replied with the origin, or "" if no other VM did
 * @param tookMs duration of the search in milliseconds
 */
public record OriginSearchResult(
    @Nullable StreamOrigin origin, Source source, String vm, long tookMs) {
  /** The result for a stream whose service is not known either, so that nothing is searched. */
  public static final OriginSearchResult UNKNOWN_SERVICE =
      new OriginSearchResult(null, Source.UNKNOWN, "", 0);

  /** How an origin was found. */
  public enum Source {
    /** This VM began or continued the stream, or another VM announced it to this one. */
    KNOWN,
    /** Another VM replied with the origin. */
    OTHER_VM,
    /** Derived from the list of servers, which has one software version of the service. */
    ONLY_VERSION,
    /** Not found. */
    UNKNOWN
  }
}
