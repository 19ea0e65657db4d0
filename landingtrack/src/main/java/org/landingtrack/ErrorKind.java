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
 * Lists all kinds of errors, and maps each to the answer that callers and operators get.
 *
 * <p>Each kind has an HTTP status, the name of a gRPC status code, whether the request ran, and the
 * default time in seconds after which a retry makes sense (0 means that a retry does not help).
 *
 * @since 0.1
 */
public enum ErrorKind {
  BAD_REQUEST(400, "INVALID_ARGUMENT", RunState.NOT_RUN, 0),
  BAD_SETTINGS(400, "INVALID_ARGUMENT", RunState.NOT_RUN, 0),
  UNAUTHENTICATED(401, "UNAUTHENTICATED", RunState.NOT_RUN, 0),
  FORBIDDEN(403, "PERMISSION_DENIED", RunState.NOT_RUN, 0),
  NOT_FOUND(404, "NOT_FOUND", RunState.NOT_RUN, 0),
  BODY_TIMEOUT(408, "DEADLINE_EXCEEDED", RunState.NOT_RUN, 1),
  VERSION_CONFLICT(409, "ABORTED", RunState.NOT_RUN, 0),
  IN_USE(409, "FAILED_PRECONDITION", RunState.NOT_RUN, 0),
  /** A request with the same key was accepted before; that one may have run. */
  DUPLICATE_KEY(409, "ALREADY_EXISTS", RunState.UNKNOWN, 0),
  TOO_LARGE(413, "RESOURCE_EXHAUSTED", RunState.NOT_RUN, 0),
  RATE_LIMITED(429, "RESOURCE_EXHAUSTED", RunState.NOT_RUN, 1),
  OVERLOADED(503, "UNAVAILABLE", RunState.NOT_RUN, 2),
  NO_BACKEND_SERVER(503, "UNAVAILABLE", RunState.NOT_RUN, 2),
  /**
   * Server processes ended while they ran this request of this caller; no further server gets it.
   */
  QUARANTINED(503, "UNAVAILABLE", RunState.NOT_RUN, 3_600),
  /**
   * The stream to resume can't go on: the software version that began it is not known or has no
   * server. The caller has to start over.
   */
  STREAM_NOT_RESUMABLE(503, "ABORTED", RunState.NOT_RUN, 0),
  STOPPING(503, "UNAVAILABLE", RunState.NOT_RUN, 1),
  PLATFORM_UNAVAILABLE(503, "UNAVAILABLE", RunState.NOT_RUN, 5),
  NOT_READY(503, "UNAVAILABLE", RunState.NOT_RUN, 2),
  DEADLINE_BEFORE_RUN(504, "DEADLINE_EXCEEDED", RunState.NOT_RUN, 2),
  /** The deadline passed while the request was running; it was cancelled. */
  DEADLINE_IN_RUN(504, "DEADLINE_EXCEEDED", RunState.RAN, 0),
  OUTCOME_UNKNOWN(502, "UNKNOWN", RunState.UNKNOWN, 0),
  /** The backend server started to run the request, which then failed. */
  FAILED_IN_RUN(502, "INTERNAL", RunState.RAN, 0),
  INTERNAL(500, "INTERNAL", RunState.UNKNOWN, 0);

  private final int httpStatus;
  private final String grpcCode;
  private final RunState runState;
  private final int retryAfterSeconds;

  ErrorKind(int httpStatus, String grpcCode, RunState runState, int retryAfterSeconds) {
    this.httpStatus = httpStatus;
    this.grpcCode = grpcCode;
    this.runState = runState;
    this.retryAfterSeconds = retryAfterSeconds;
  }

  /** Returns the HTTP status of an answer of this kind. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the name of the gRPC status code of this kind. */
  public String grpcCode() {
    return grpcCode;
  }

  /** Returns what an answer of this kind says about whether the request ran. */
  public RunState runState() {
    return runState;
  }

  /** Returns the seconds after which a retry makes sense; 0 if a retry does not help. */
  public int retryAfterSeconds() {
    return retryAfterSeconds;
  }
}
