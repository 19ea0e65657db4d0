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

import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.serving.BackendTransport.ResponseHead;
import org.landingtrack.internal.serving.BackendTransport.StreamEvent;

/**
 * Writes the response to one request to its caller, and keeps track of what the caller has
 * received. A stream may be resumed at another server; its caller gets one head, and each event
 * once. Used on the event loop only.
 */
final class CallerResponse {
  private final CallerRequest request;
  private final CallerSink sink;
  private final EventLoop loop;
  private boolean streamStarted;
  private long firstResponseMs = -1;
  private @Nullable String lastEventId;
  private boolean endsUnnumbered;

  CallerResponse(CallerRequest request, CallerSink sink, EventLoop loop) {
    this.request = request;
    this.sink = sink;
    this.loop = loop;
    this.lastEventId = request.resumeAfter();
  }

  /**
   * Returns true if the head of a stream was sent to the caller, after which no other status can be
   * sent.
   */
  boolean hasStartedStream() {
    return streamStarted;
  }

  /** Returns the id of the last event that was sent to the caller, or null. */
  @Nullable String lastEventId() {
    return lastEventId;
  }

  /**
   * Returns false if the caller has received an event after {@link #lastEventId} that has no id; a
   * server that resumes the stream would send that event again.
   */
  boolean isResumable() {
    return !endsUnnumbered;
  }

  /**
   * Returns the time from receipt of the request to the first event or the whole body of the
   * response, in milliseconds; -1 if neither has come.
   */
  long firstResponseMs() {
    return firstResponseMs;
  }

  /** Sends the head of a stream, unless the caller has one already. */
  void startStream(ResponseHead head) {
    if (!streamStarted) {
      streamStarted = true;
      sink.startStream(head.status(), head.headers());
    }
  }

  /** Forwards an event, unless the caller has it already. */
  void event(StreamEvent event) {
    recordFirstResponse();
    if (!event.id().isEmpty()) {
      if (!event.isAfter(lastEventId)) {
        return;
      }
      lastEventId = event.id();
      endsUnnumbered = false;
    }
    endsUnnumbered |= event.isUnnumbered();
    sink.event(event.bytes());
  }

  /** Records the time of the first event or body, if none has come before. */
  void recordFirstResponse() {
    if (firstResponseMs < 0) {
      firstResponseMs = loop.millis() - request.receivedAtMs();
    }
  }

  /** Completes the response with that of a server. */
  void end(ResponseHead head, byte[] body) {
    if (head.isStream()) {
      sink.endStream();
    } else if (head.impliesNotRun()) {
      // The server ran the request, but callers would take this status to mean that it did not run.
      sink.refuse(ErrorKind.FAILED_IN_RUN, "the server responded with status " + head.status(), 0);
    } else {
      sink.answer(head.status(), head.headers(), body);
    }
  }

  /** Responds with an error of landingtrack itself. Must not follow the head of a stream. */
  void refuse(ErrorKind kind, String why, long retryAfterMs) {
    sink.refuse(kind, why, retryAfterMs);
  }

  /** Aborts a stream, so that the caller does not take it for complete. */
  void abort() {
    sink.abort();
  }
}
