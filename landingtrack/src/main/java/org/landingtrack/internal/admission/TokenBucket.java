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
package org.landingtrack.internal.admission;

/** A token bucket whose rate and size may change. Not thread-safe; the caller passes the time. */
final class TokenBucket {
  private double tokens;
  private long lastMs;

  TokenBucket(double tokens, long nowMs) {
    this.tokens = tokens;
    this.lastMs = nowMs;
  }

  /** Takes one token. Returns 0 on success, else the milliseconds until a token is available. */
  long take(double perSecond, double burst, long nowMs) {
    tokens = Math.min(burst, tokens + (nowMs - lastMs) * perSecond / 1000);
    lastMs = nowMs;
    if (tokens >= 1) {
      tokens -= 1;
      return 0;
    }
    return (long) Math.ceil((1 - tokens) * 1000 / perSecond);
  }
}
