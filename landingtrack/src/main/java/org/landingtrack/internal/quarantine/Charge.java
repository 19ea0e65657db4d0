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
package org.landingtrack.internal.quarantine;

/**
 * A request or prompt part that a crash is counted against.
 *
 * @param position position in the prompt, from 0; {@link #WHOLE_REQUEST} for a request. Parts at
 *     the front are shared by the most requests.
 * @param servedBefore true for a prompt part with which a request ended well earlier
 */
public record Charge(SuspectKey key, int position, boolean servedBefore) {
  /** Position of a request, which is more specific than any part of its prompt. */
  static final int WHOLE_REQUEST = Integer.MAX_VALUE;

  /** Returns the charge against a request. */
  public static Charge ofRequest(SuspectKey request) {
    return new Charge(request, WHOLE_REQUEST, false);
  }
}
