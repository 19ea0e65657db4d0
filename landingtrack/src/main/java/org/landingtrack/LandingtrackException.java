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
package org.landingtrack;

/**
 * Signals an error that is answered to a caller or an operator; its {@link ErrorKind} determines
 * the answer.
 *
 * <pre>{@code
 * throw new LandingtrackException(ErrorKind.NOT_FOUND, "service 'estimator' does not exist");
 * }</pre>
 *
 * @since 0.1
 */
public final class LandingtrackException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final int retryAfterSeconds;

  public LandingtrackException(ErrorKind kind, String message) {
    this(kind, message, kind.retryAfterSeconds());
  }

  /**
   * Creates an exception with its own retry time in seconds, instead of the default of its kind.
   */
  public LandingtrackException(ErrorKind kind, String message, int retryAfterSeconds) {
    super(message);
    this.kind = kind;
    this.retryAfterSeconds = retryAfterSeconds;
  }

  public LandingtrackException(ErrorKind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
    this.retryAfterSeconds = kind.retryAfterSeconds();
  }

  /** Returns the error kind. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns the seconds after which a retry makes sense; 0 if a retry does not help. */
  public int retryAfterSeconds() {
    return retryAfterSeconds;
  }
}
