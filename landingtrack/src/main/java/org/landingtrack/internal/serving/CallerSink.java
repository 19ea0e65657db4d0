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
import org.landingtrack.ErrorKind;

/** Where the answer to one request goes. Exactly one of the ways to end is used, once. */
public interface CallerSink {
  /** Answers as a backend server did, whole. */
  void answer(int status, List<Header> headers, byte[] body);

  /**
   * Answers with an error of landingtrack's own.
   *
   * @param retryAfterMs when to come back; 0 if that does not help
   */
  void refuse(ErrorKind kind, String why, long retryAfterMs);

  /** Begins a stream with the head of the backend server's answer. */
  void startStream(int status, List<Header> headers);

  /** Passes on one whole event. */
  void event(byte[] bytes);

  /** Ends a stream that is complete. */
  void endStream();

  /** Breaks off so that what was sent does not look complete. */
  void abort();
}
