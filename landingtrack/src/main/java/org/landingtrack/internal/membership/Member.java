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

/**
 * One controller, as another member of the group sees it.
 *
 * @param vm name of its VM
 * @param address {@code host:port} of the peer port; probes use the same port number over UDP
 * @param incarnation number that only the member itself raises, to refute a false suspicion
 */
public record Member(
    String vm, String dataCentre, String region, String address, State state, long incarnation) {

  /** The state of a member. For the same incarnation, a state replaces those declared before it. */
  public enum State {
    ALIVE(0),
    SUSPECT(1),
    DEAD(2),
    LEFT(3);

    private final int precedence;

    State(int precedence) {
      this.precedence = precedence;
    }
  }

  /** Returns a copy with another state and incarnation. */
  Member with(State newState, long newIncarnation) {
    return new Member(vm, dataCentre, region, address, newState, newIncarnation);
  }

  /** Returns true if the member may be given work: it is alive or only suspected. */
  public boolean isUsable() {
    return state == State.ALIVE || state == State.SUSPECT;
  }

  /**
   * Returns true if this view replaces {@code known}: it has a higher incarnation, or the same one
   * and a state of higher precedence.
   */
  boolean overrides(Member known) {
    if (incarnation != known.incarnation) {
      return incarnation > known.incarnation;
    }
    return state.precedence > known.state.precedence;
  }
}
