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
public final class ReadGate {
  /** Interval of reads from a paused server, well below the time after which servers abort. */
  private static final long READ_ON_AFTER_MS = 1_000;

  /**
   * Callers abandon a stream after two seconds without an event, so a caller that read nothing for
   * this long has probably left; its server would abort the answer soon.
   */
  private static final long TAKES_NOTHING_MS = 2_000;

  /**
   * Reading resumes when the unread bytes fall to the share divided by this, so that a server is
   * not paused and resumed for each event.
   */
  private static final int RESUME_PARTS = 4;

  private final HeldBytes held;
  private boolean closed;
  private long heldBackAtMs;
  private long share;

  /** What to do with the connection to the server. */
  public enum Reading {
    /** Continue as before. */
    AS_BEFORE,
    /** Stop reading. */
    HOLD_BACK,
    /** Resume reading. */
    RESUME,
    /** Read once, then stop again. */
    ONE_PIECE
  }

  /** Creates a gate that lets data through; {@code held} counts the bytes that the VM holds. */
  public ReadGate(HeldBytes held) {
    this.held = held;
  }

  /** Returns true while reading from the server is paused. */
  public boolean isClosed() {
    return closed;
  }

  /** Decides after a change of the caller's unread bytes. */
  public Reading changed(long unreadBytes, long nowMs) {
    if (!closed && unreadBytes >= held.share()) {
      closed = true;
      share = held.share();
      heldBackAtMs = nowMs;
      return Reading.HOLD_BACK;
    }
    if (closed && unreadBytes <= share / RESUME_PARTS) {
      closed = false;
      return Reading.RESUME;
    }
    return Reading.AS_BEFORE;
  }

  /** Decides about a paused server; has to be called several times a second. */
  public Reading look(long nowMs) {
    if (!closed || !held.hasRoom() || nowMs - heldBackAtMs < READ_ON_AFTER_MS) {
      return Reading.AS_BEFORE;
    }
    heldBackAtMs = nowMs;
    return Reading.ONE_PIECE;
  }

  /**
   * Returns true if a caller with unread bytes has to be disconnected because memory is short.
   *
   * @param lastReadAtMs when the caller last read some bytes; if later, when the first of the
   *     current bytes became unread
   */
  public boolean isAway(long lastReadAtMs, long nowMs) {
    return !held.hasRoom() && nowMs - lastReadAtMs >= TAKES_NOTHING_MS;
  }
}
