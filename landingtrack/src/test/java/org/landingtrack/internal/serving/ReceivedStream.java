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

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.landingtrack.ErrorKind;

/** A stream as its caller has it, from one or more answers. */
final class ReceivedStream implements CallerSink {
  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n\n");

  final String firstRequestId;
  final long begunAtMs;

  /** The software versions that wrote its events. */
  final Set<String> versions = new TreeSet<>();

  /** What happened, for the message of a failed test. */
  final StringBuilder log = new StringBuilder();

  int lastEvent;
  boolean isRefused;
  boolean isComplete;
  private boolean isClosed;

  ReceivedStream(String firstRequestId, long begunAtMs) {
    this.firstRequestId = firstRequestId;
    this.begunAtMs = begunAtMs;
  }

  /** Returns what the caller has when it takes the stream up again. */
  ReceivedStream takeUp() {
    ReceivedStream next = new ReceivedStream(firstRequestId, begunAtMs);
    next.versions.addAll(versions);
    next.lastEvent = lastEvent;
    next.log.append(log);
    return next;
  }

  /** Ends the connection to the VM: nothing more arrives. */
  void close() {
    isClosed = true;
  }

  /** Returns true if it has events of several software versions. */
  boolean isJoined() {
    return versions.size() > 1;
  }

  @Override
  public void answer(int status, List<Header> headers, byte[] body) {
    throw new AssertionError("status " + status + " for a stream");
  }

  @Override
  public void refuse(ErrorKind kind, String why, long retryAfterMs) {
    isRefused |= !isClosed;
    log.append(" refused (").append(kind).append(", ").append(why).append(')');
  }

  @Override
  public void startStream(int status, List<Header> headers) {}

  @Override
  public void event(byte[] bytes) {
    Matcher matcher = EVENT.matcher(new String(bytes, StandardCharsets.US_ASCII));
    if (isClosed || !matcher.matches()) {
      return;
    }
    lastEvent = Integer.parseInt(matcher.group(1));
    versions.add(matcher.group(2));
    log.append(' ').append(lastEvent).append(':').append(matcher.group(2));
  }

  @Override
  public void endStream() {
    isComplete |= !isClosed;
  }

  @Override
  public void abort() {}
}
