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
package org.landingtrack.internal.membership;

import java.util.List;

/**
 * A datagram of the membership protocol.
 *
 * @param type PING, ACK or PING_REQUEST
 * @param sequence number that matches an ACK to its PING
 * @param from the sender
 * @param target address to probe for PING_REQUEST; empty otherwise
 * @param updates views of members that may be new to the receiver
 */
public record Probe(Type type, long sequence, Member from, String target, List<Member> updates) {
  /** The type of a datagram. */
  public enum Type {
    PING,
    ACK,
    PING_REQUEST
  }

  /** A datagram and its destination address. */
  public record Outgoing(String address, Probe probe) {}
}
