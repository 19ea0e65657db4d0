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
package org.landingtrack.internal.dispatch;

/** Claims request keys for requests that must run at most once. Implementations are thread-safe. */
public interface ClaimRegistry {
  /**
   * Claims a request key for a request.
   *
   * @throws org.landingtrack.LandingtrackException of kind DUPLICATE_KEY if another request holds
   *     the key, of kind PLATFORM_UNAVAILABLE if this cannot be determined now
   */
  void claim(String keyHash, String requestId);

  /** Releases the claim of a request that did not run. */
  void release(String keyHash, String requestId);
}
