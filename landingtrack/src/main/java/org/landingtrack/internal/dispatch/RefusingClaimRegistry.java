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

import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;

/** Refuses every claim; used where no claim store is configured. Thread-safe. */
final class RefusingClaimRegistry implements ClaimRegistry {
  @Override
  public void claim(String keyHash, String requestId) {
    throw new LandingtrackException(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "request keys cannot be claimed: no claim store is configured");
  }

  @Override
  public void release(String keyHash, String requestId) {}
}
