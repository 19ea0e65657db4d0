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

/**
 * Receives the response to one request. Exactly one of {@link #answer}, {@link #refuse}, {@link
 * #endStream} and {@link #abort} is called last, once.
 */
public interface CallerSink {
  /** Sends the complete response of a backend server. */
  void answer(int status, List<Header> headers, byte[] body);

  /**
   * Sends an error of landingtrack itself.
   *
   * @param retryAfterMs the delay after which the caller should retry; 0 if a retry does not help
   */
  void refuse(ErrorKind kind, String why, long retryAfterMs);

  /** Starts a stream with the status and headers of the backend server. */
  void startStream(int status, List<Header> headers);

  /** Sends one complete event of a stream. */
  void event(byte[] bytes);

  /** Ends a stream as complete. */
  void endStream();

  /** Aborts the response, so that the caller does not take it for complete. */
  void abort();
}
