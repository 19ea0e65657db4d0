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

import java.util.Locale;

/** Reason why a server may not get a request, as written in logs and refusals. */
enum IneligibleReason {
  /** The request was already sent to it. */
  TRIED,
  /** Its software version is not the one that began the stream. */
  OTHER_SOFTWARE,
  /** Another VM found a later incarnation at its address. */
  ENDED,
  /** Its data centre is evacuated. */
  EVACUATED,
  /** Its region is not one of the allowed regions of the request's route or team. */
  NOT_HOME,
  /** It asked this VM to back off. */
  RESTING,
  /** It is cold, and this VM's share of its capacity is used up for the moment. */
  COLD,
  /** It crashes if it rejects too many requests, and all its slots are taken. */
  FULL,
  /** It was full a moment ago, and rejected a stream to continue. */
  REJECTED,
  /** It has a request limit, and this VM may send it nothing at the moment. */
  LIMITED;

  String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
