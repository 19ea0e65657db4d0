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
 * A complete request of a caller, with its body.
 *
 * @param id the id of the request; a retry of the caller has a new id
 * @param target the path and query, unchanged
 * @param headers the headers that are forwarded unchanged
 * @param deadlineMs how long the caller waits, from {@code receivedAtMs}; 0 if not given
 * @param key the API key of the caller, or null
 * @param prompt the description of the prompt, or null for a plain service
 * @param resumeAfter the id of the last event that the caller has of a stream to resume, or null
 * @param resumes the id of the request that brought the first event of the stream to resume, or
 *     null if the caller does not state it
 * @param receivedAtMs when the headers were read, on the event loop's clock
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
    @Nullable String resumes,
    long receivedAtMs) {
  /** Creates a request that states no stream to resume. */
  public CallerRequest(
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
    this(
        id,
        method,
        host,
        target,
        headers,
        body,
        deadlineMs,
        key,
        prompt,
        resumeAfter,
        null,
        receivedAtMs);
  }

  /** Returns the path without the query. */
  public String path() {
    int end = target.indexOf('?');
    return end < 0 ? target : target.substring(0, end);
  }

  /**
   * Returns the key of the traffic split: all requests of a session go to the same target, and so
   * do those that resume a stream.
   */
  String splitKey() {
    if (prompt != null) {
      return prompt.sessionKey();
    }
    return resumes == null ? id : resumes;
  }
}
