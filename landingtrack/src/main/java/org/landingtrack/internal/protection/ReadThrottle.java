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
package org.landingtrack.internal.protection;

/**
 * Applies backpressure: decides whether to read from a server while its caller reads slowly. Guards
 * against streams that are faster than their callers; without it, all that a server sends would be
 * buffered here. A server aborts an answer that stays unread for some seconds, so a paused server
 * is read a little now and then, while the VM has memory for it.
 */
public final class ReadThrottle {
  /** Interval of reads from a paused server, well below the time after which servers abort. */
  private static final long PAUSED_READ_INTERVAL_MS = 1_000;

  /**
   * Callers abandon a stream after two seconds without an event, so a caller that read nothing for
   * this long has probably left; its server would abort the answer soon.
   */
  private static final long STALLED_CALLER_MS = 2_000;

  /**
   * Reading resumes when the unread bytes fall to the share divided by this, so that a server is
   * not paused and resumed for each event.
   */
  private static final int RESUME_DIVISOR = 4;

  private final HeldBytes held;
  private boolean paused;
  private long pausedAtMs;
  private long pauseShare;

  /** What to do with the connection to the server. */
  public enum ReadAction {
    /** Continue as before. */
    UNCHANGED,
    /** Stop reading. */
    PAUSE,
    /** Resume reading. */
    RESUME,
    /** Read once, then stop again. */
    READ_ONCE
  }

  /** Creates a gate that lets data through; {@code held} counts the bytes that the VM holds. */
  public ReadThrottle(HeldBytes held) {
    this.held = held;
  }

  /** Returns true while reading from the server is paused. */
  public boolean isPaused() {
    return paused;
  }

  /** Decides after a change of the caller's unread bytes. */
  public ReadAction unreadBytesChanged(long unreadBytes, long nowMs) {
    if (!paused && unreadBytes >= held.share()) {
      paused = true;
      pauseShare = held.share();
      pausedAtMs = nowMs;
      return ReadAction.PAUSE;
    }
    if (paused && unreadBytes <= pauseShare / RESUME_DIVISOR) {
      paused = false;
      return ReadAction.RESUME;
    }
    return ReadAction.UNCHANGED;
  }

  /** Decides about a paused server; has to be called several times a second. */
  public ReadAction poll(long nowMs) {
    if (!paused || !held.hasRoom() || nowMs - pausedAtMs < PAUSED_READ_INTERVAL_MS) {
      return ReadAction.UNCHANGED;
    }
    pausedAtMs = nowMs;
    return ReadAction.READ_ONCE;
  }

  /**
   * Returns true if a caller with unread bytes has to be disconnected because memory is short.
   *
   * @param lastReadAtMs when the caller last read some bytes; if later, when the first of the
   *     current bytes became unread
   */
  public boolean isCallerStalled(long lastReadAtMs, long nowMs) {
    return !held.hasRoom() && nowMs - lastReadAtMs >= STALLED_CALLER_MS;
  }
}
