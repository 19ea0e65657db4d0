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

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A whole request as it was read from a caller.
 *
 * @param id the id of this try of the caller
 * @param target path and query, unchanged
 * @param headers what is passed on as it came
 * @param deadlineMs how long the caller waits, from {@code receivedAtMs}; 0 if it did not say
 * @param key the caller's key, or null
 * @param prompt what the caller tells of its prompt, or null for a plain service
 * @param resumeAfter id of the last event that the caller has of this stream, or null
 * @param receivedAtMs when the head of the request was read, on the event loop's clock
 */
public record CallerRequest(
    String id,
    String method,
    String host,
    String target,
    List<Header> headers,
    byte[] body,
    long deadlineMs,
    @Nullable String key,
    @Nullable Prompt prompt,
    @Nullable String resumeAfter,
    long receivedAtMs) {

  /** Returns the path without the query. */
  public String path() {
    int end = target.indexOf('?');
    return end < 0 ? target : target.substring(0, end);
  }

  /** Returns what decides the part of a split: requests of one session go to the same one. */
  String splitKey() {
    return prompt == null ? id : prompt.sessionKey();
  }
}
