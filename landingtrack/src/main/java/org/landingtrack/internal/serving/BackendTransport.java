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
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Sends requests to backend servers. Methods and callbacks run on the event loop only. */
public interface BackendTransport {
  /** Sends a call. The listener is called until the call is over or cancelled. */
  Exchange send(BackendCall call, Listener listener);

  /**
   * Opens a connection to a server and closes it again.
   *
   * @param refused receives true if the connection was refused: no server listens there any more. A
   *     refusal that may be due to this VM's own network link does not count.
   */
  void probe(String serverId, String address, Consumer<Boolean> refused);

  /** Drops the connections to a server that is gone. */
  void dropConnections(String serverId);

  /**
   * One attempt to run a request at one backend server.
   *
   * @param serverId the server incarnation that is meant; any other one refuses the call
   * @param leftMs the time until the deadline, which the server is given
   * @param team the name of the team that owns the caller's key, or null
   * @param priority the priority, 0 being the most urgent; -1 to leave it to the server
   * @param cacheScope the scope within which calls share cached parts of prompts; empty if the
   *     request has no prompt
   * @param moves the parts of the prompt that the server fetches and saves
   * @param weightVersion the version of the weights that the server must have, or empty
   * @param resumeAfter the id of the last event that the caller already has, or null
   * @param mayStillSend checked once the connection is open, right before the call is written; the
   *     call is withdrawn if it returns false
   */
  record BackendCall(
      CallerRequest request,
      String serverId,
      String address,
      int connectionLimit,
      long leftMs,
      @Nullable String team,
      int priority,
      String cacheScope,
      PartTransfers moves,
      OptionalLong weightVersion,
      @Nullable String resumeAfter,
      BooleanSupplier mayStillSend) {}

  /** A handle of a call in flight. */
  @FunctionalInterface
  interface Exchange {
    /**
     * Cancels the call by closing its connection. The listener is not called any more.
     *
     * @return true if the server may have received the call, false if it was not sent yet
     */
    boolean cancel();
  }

  /** The reason why a call certainly did not run. */
  enum NotRunReason {
    /** No connection could be opened, and the server is the cause as far as is known. */
    NO_CONNECTION,
    /** This VM does not reach the server, which says nothing about the server. */
    UNREACHABLE,
    /** The server had no capacity, or the deadline passed in its queue. */
    FULL,
    /** Another incarnation of the server, or another server, has the address. */
    OTHER_SERVER,
    /** Before anything was sent, the server asked for fewer requests or a backoff. */
    RECALLED,
    /** The server has other weights. */
    OTHER_VERSION,
    /** The server refused the request itself. */
    REFUSED,
    /** The deadline passed before the call could be sent. */
    TOO_LATE
  }

  /** An event of a stream; {@code id} is empty if it has none. */
  record StreamEvent(String id, byte[] bytes) {
    /** Returns true if the event follows the one with id {@code last}; numeric ids increase. */
    boolean isAfter(@Nullable String last) {
      if (last == null) {
        return true;
      }
      try {
        return Long.parseLong(id) > Long.parseLong(last);
      } catch (NumberFormatException e) {
        return !id.equals(last);
      }
    }

    /** Returns true if the event has data but no id; a stream cannot be resumed right after it. */
    boolean isUnnumbered() {
      return id.isEmpty()
          && new String(bytes, StandardCharsets.ISO_8859_1)
              .lines()
              .anyMatch(line -> line.startsWith("data"));
    }
  }

  /**
   * The head of a response.
   *
   * @param isStream true if the body is an event stream
   * @param weightVersion the version of the weights that the server used, or empty
   */
  record ResponseHead(
      int status, List<Header> headers, boolean isStream, OptionalLong weightVersion) {

    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECTION = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Returns true if the status says that the server ran the request and succeeded. */
    boolean isSuccess() {
      return status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
    }

    /** Returns true if the status is a server error. */
    boolean isServerError() {
      return status >= FIRST_SERVER_ERROR;
    }

    /** Returns true if callers take this status to mean "did not run and never will". */
    boolean impliesNotRun() {
      return NOT_RUN_STATUSES.contains(status);
    }
  }

  /** Receives the events of a call. The last is one of those that say that the call is over. */
  interface Listener {
    /** The call certainly did not run and never will. It is over. */
    void notRun(NotRunReason reason, String why);

    /** The response holds a notice of the server about its own state; its head follows. */
    void noticeReceived(ServerNotice notice);

    /** The head of the response arrived. */
    void head(ResponseHead head);

    /** A complete event of a stream arrived. */
    void event(StreamEvent event);

    /**
     * The network link to the server failed while the call waits for the server. The call is not
     * over: it may still be answered if the link recovers in time.
     */
    default void linkDown() {}

    /** The response is complete; {@code body} is empty for a stream. The call is over. */
    void completed(byte[] body);

    /** The connection broke or the response is invalid: the call may have run. It is over. */
    void outcomeUnknown(String why);
  }
}
