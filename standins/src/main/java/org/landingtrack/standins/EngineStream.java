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
package org.landingtrack.standins;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Ticker;

/**
 * Output of one run of a completion on an engine. The run continues when its reader disconnects, so
 * that another one can resume the stream. Thread-safe.
 */
final class EngineStream {
  private final String attempt;
  private final List<String> tokens = new ArrayList<>();
  private final int firstOffset;
  private boolean done;
  private boolean started;
  private boolean cancelled;
  private String error = "";
  private int promptTokens;
  private int cachedTokens;
  private long endedMs = Long.MAX_VALUE;

  EngineStream(String attempt, int firstOffset) {
    this.attempt = attempt;
    this.firstOffset = firstOffset;
  }

  String attempt() {
    return attempt;
  }

  /** Marks the run as started; returns false if it was cancelled before. */
  synchronized boolean start(int promptTokenCount, int reusedTokenCount) {
    if (cancelled) {
      return false;
    }
    started = true;
    promptTokens = promptTokenCount;
    cachedTokens = reusedTokenCount;
    return true;
  }

  /** Appends a token; returns false if the run is cancelled and must stop. */
  synchronized boolean add(String token) {
    tokens.add(token);
    notifyAll();
    return !cancelled;
  }

  /** Ends the run; an empty error means success. */
  synchronized void end(String errorMessage) {
    done = true;
    error = errorMessage;
    endedMs = Ticker.SYSTEM.millis();
    notifyAll();
  }

  /** Cancels the run; returns true if it had started. */
  synchronized boolean cancel() {
    cancelled = true;
    notifyAll();
    return started;
  }

  synchronized boolean isCancelled() {
    return cancelled;
  }

  synchronized boolean endedBefore(long cutoffMs) {
    return endedMs < cutoffMs;
  }

  /** Waits for the token at an offset; returns null if the run ended before it or was cancelled. */
  synchronized @Nullable String token(int offset) throws InterruptedException {
    int index = offset - firstOffset;
    while (index >= tokens.size() && !done && !cancelled) {
      wait(1_000);
    }
    return index >= 0 && index < tokens.size() ? tokens.get(index) : null;
  }

  /** Returns true if the run ended without an error and was not cancelled. */
  synchronized boolean isComplete() {
    return done && error.isEmpty() && !cancelled;
  }

  synchronized String error() {
    return error;
  }

  /** Returns the numbers of prompt tokens, cached prompt tokens and completion tokens. */
  synchronized int[] usage() {
    return new int[] {promptTokens, cachedTokens, firstOffset + tokens.size()};
  }
}
