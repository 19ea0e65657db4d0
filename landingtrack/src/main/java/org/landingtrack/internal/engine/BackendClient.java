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
 * Calls to backend servers. Every call makes one attempt and never repeats by itself; the outcome
 * says whether anything ran. Implementations are thread-safe.
 */
public interface BackendClient {
  /** Runs a completion and brings its tokens from {@code resumeOffset} on. */
  CompletionOutcome complete(String address, CompletionCall call, TokenSink sink);

  /** Takes up the stream of an attempt that still runs, from a token on. */
  CompletionOutcome resume(String address, CompletionCall call, int from, TokenSink sink);

  /** Cancels an attempt. */
  Cancelled cancel(String address, String attempt);

  /** Makes an engine import kept state; returns the bytes that were moved. */
  long importKept(String address, KeptImport order);

  /** Calls a plain service. */
  PlainOutcome plain(String address, PlainCall call);

  /** What a cancelled attempt had done. */
  enum Cancelled {
    NEVER_RAN,
    RAN,
    UNKNOWN
  }
}
