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

/**
 * Sends requests to backend servers. Every call is one attempt and is never retried here; its
 * outcome says whether the server ran anything. Calls block. Implementations are thread-safe.
 */
public interface BackendClient {
  /** Runs a completion and passes its tokens on, from the call's {@code resumeOffset}. */
  CompletionOutcome complete(String address, CompletionCall call, TokenSink sink);

  /**
   * Reconnects to the stream of an attempt that still runs.
   *
   * @param from offset of the first token that is wanted
   */
  CompletionOutcome resume(String address, CompletionCall call, int from, TokenSink sink);

  /** Cancels an attempt and returns whether it had run. */
  CancelResult cancel(String address, String attempt);

  /**
   * Makes an engine import stored KV cache blocks; returns the bytes that were transferred, 0 if
   * the import failed.
   */
  long importKvCache(String address, KvCacheImport order);

  /** Calls a plain HTTP service. */
  PlainOutcome plain(String address, PlainCall call);

  /** Whether a cancelled attempt had run; {@code UNKNOWN} without a valid answer of the server. */
  enum CancelResult {
    NEVER_RAN,
    RAN,
    UNKNOWN
  }
}
