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
package org.landingtrack.internal.engine;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether any byte of a request may have been sent, from the events of the HTTP client. A
 * request of which no byte was sent is certain not to have run. Thread-safe.
 */
final class SendTracker extends EventListener {
  private volatile boolean sendStarted;

  @Override
  public void requestHeadersStart(Call call) {
    sendStarted = true;
  }

  /** Returns true if a byte of the request may have reached the server. */
  boolean mayHaveReachedServer() {
    return sendStarted;
  }
}
