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
package org.landingtrack.internal.caller;

import io.javalin.http.Context;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;

/**
 * The landingtrack headers of a caller's request, parsed and checked.
 *
 * @param deadlineMs time within which the answer must begin
 * @param priority 0 (the default) to 9, the highest
 * @param noRepeat true if the request must run at most once, so that it is never retried after it
 *     may have run
 * @param requestKey idempotency key: the same for all retries by the caller; empty if there is none
 */
record CallerHeaders(long deadlineMs, int priority, boolean noRepeat, String requestKey) {
  static final String REQUEST_ID = "Landingtrack-Request-Id";
  static final String DEADLINE = "Landingtrack-Deadline-Ms";
  static final String PRIORITY = "Landingtrack-Priority";
  static final String NO_REPEAT = "Landingtrack-No-Repeat";
  static final String REQUEST_KEY = "Landingtrack-Request-Key";
  private static final int MAX_KEY_LENGTH = 200;
  private static final long MAX_DEADLINE_MS = 3_600_000;

  /** Reads the headers; throws {@code BAD_REQUEST} naming the header that is not valid. */
  static CallerHeaders of(Context ctx, long defaultDeadlineMs) {
    long deadline = parseNumber(ctx, DEADLINE, defaultDeadlineMs, 1, MAX_DEADLINE_MS);
    int priority = (int) parseNumber(ctx, PRIORITY, 0, 0, 9);
    @Nullable String noRepeat = ctx.header(NO_REPEAT);
    if (noRepeat != null && !noRepeat.equals("true") && !noRepeat.equals("false")) {
      throw invalidHeader(NO_REPEAT, "true or false");
    }
    @Nullable String key = ctx.header(REQUEST_KEY);
    if (key != null && (key.isEmpty() || key.length() > MAX_KEY_LENGTH)) {
      throw invalidHeader(REQUEST_KEY, "1 to " + MAX_KEY_LENGTH + " characters");
    }
    return new CallerHeaders(deadline, priority, "true".equals(noRepeat), key == null ? "" : key);
  }

  private static long parseNumber(Context ctx, String name, long fallback, long min, long max) {
    @Nullable String text = ctx.header(name);
    if (text == null) {
      return fallback;
    }
    try {
      long value = Long.parseLong(text.trim());
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // The error below states the allowed range.
    }
    throw invalidHeader(name, "a whole number from " + min + " to " + max);
  }

  private static LandingtrackException invalidHeader(String name, String allowed) {
    return new LandingtrackException(
        ErrorKind.BAD_REQUEST, "header " + name + " must be " + allowed);
  }
}
