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
package org.landingtrack.internal.overload;

/**
 * The decision of admission control on a request.
 *
 * @param cause why it is refused; {@link Cause#NONE} if it is admitted
 * @param reason the cause with the values that decided, for the log
 * @param retryAfterMs when the caller should retry, in milliseconds; 0 if the request is admitted
 */
public record AdmissionDecision(Cause cause, String reason, long retryAfterMs) {
  /** The request is admitted. */
  public static final AdmissionDecision ADMITTED = new AdmissionDecision(Cause.NONE, "", 0);

  /** Why a request is refused. */
  public enum Cause {
    /** The request is not refused. */
    NONE("none"),
    /** The capacity for its priority rank is used up. */
    RANK("rank"),
    /** Its team uses more of the capacity than other teams. */
    TEAM("team"),
    /** It could only start after its deadline. */
    TIME("time");

    private final String text;

    Cause(String text) {
      this.text = text;
    }

    /** Returns the name in logs and metrics. */
    public String text() {
      return text;
    }
  }

  /** Returns true if the request is admitted. */
  public boolean isAdmitted() {
    return cause == Cause.NONE;
  }
}
