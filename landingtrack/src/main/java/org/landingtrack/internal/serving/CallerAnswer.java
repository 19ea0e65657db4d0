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
import org.landingtrack.internal.serving.BackendTransport.AnswerHead;
import org.landingtrack.internal.serving.BackendTransport.StreamEvent;

/**
 * What a caller has got of the answer to its request so far. A stream may go on at another server:
 * its caller gets one head, and each event once.
 */
final class CallerAnswer {
  private final CallerRequest request;
  private final CallerSink sink;
  private final EventLoop loop;
  private boolean streamBegun;
  private long firstMs = -1;
  private @Nullable String lastEventId;

  CallerAnswer(CallerRequest request, CallerSink sink, EventLoop loop) {
    this.request = request;
    this.sink = sink;
    this.loop = loop;
    this.lastEventId = request.resumeAfter();
  }

  /** Returns true if the caller has the head of a stream: no other status can follow. */
  boolean hasBegunStream() {
    return streamBegun;
  }

  /** Returns the id of the last event that the caller has, or null. */
  @Nullable String lastEventId() {
    return lastEventId;
  }

  /** Returns how long after the request came its answer began; -1 if it did not. */
  long firstMs() {
    return firstMs;
  }

  void startStream(AnswerHead head) {
    if (!streamBegun) {
      streamBegun = true;
      sink.startStream(head.status(), head.headers());
    }
  }

  /** Passes an event on, unless the caller has it already. */
  void event(StreamEvent event) {
    noteFirst();
    if (!event.id().isEmpty()) {
      if (!event.isAfter(lastEventId)) {
        return;
      }
      lastEventId = event.id();
    }
    sink.event(event.bytes());
  }

  /** Notes that the answer begins now, if it did not before. */
  void noteFirst() {
    if (firstMs < 0) {
      firstMs = loop.millis() - request.receivedAtMs();
    }
  }

  /** Ends it with the whole answer of a server. */
  void end(AnswerHead answer, byte[] body) {
    if (answer.isStream()) {
      sink.endStream();
    } else if (answer.promisesNotRun()) {
      // The server ran it, so this status would be untrue from us.
      sink.refuse(ErrorKind.FAILED_IN_RUN, "the server answered " + answer.status(), 0);
    } else {
      sink.answer(answer.status(), answer.headers(), body);
    }
  }

  /** Ends it with an answer of landingtrack's own; nothing was answered yet. */
  void refuse(ErrorKind kind, String why, long retryAfterMs) {
    sink.refuse(kind, why, retryAfterMs);
  }

  /** Breaks a stream off. */
  void abort() {
    sink.abort();
  }
}
