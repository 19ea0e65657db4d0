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
package org.landingtrack.internal.platform;

/** A call to the platform that did not succeed. */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known about the call. */
  public enum Reason {
    /** It had no effect: the platform is out, refuses, or the call was not even sent. */
    UNAVAILABLE,
    /** A write may or may not have taken effect; read back before writing again. */
    OUTCOME_UNKNOWN,
    /** The object's version is another one. */
    CONFLICT,
    /** The watch starts before the oldest change that is kept. */
    TOO_OLD
  }

  private final Reason reason;
  private final long currentVersion;

  public PlatformException(Reason reason, String message) {
    this(reason, message, -1);
  }

  /** Creates a conflict with the version that is current. */
  public PlatformException(Reason reason, String message, long currentVersion) {
    super(message);
    this.reason = reason;
    this.currentVersion = currentVersion;
  }

  /** Returns what is known about the call. */
  public Reason reason() {
    return reason;
  }

  /** Returns the current version after a conflict; -1 if unknown. */
  public long currentVersion() {
    return currentVersion;
  }
}
