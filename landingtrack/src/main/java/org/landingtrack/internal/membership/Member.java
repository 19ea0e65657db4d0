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
 * One controller as it is seen.
 *
 * @param address peer port's address; the probes use the same number over UDP
 * @param incarnation raised only by the member itself, to refute a false suspicion
 */
public record Member(
    String vm, String dataCentre, String region, String address, State state, long incarnation) {

  /** What is thought of a member. */
  public enum State {
    ALIVE(0),
    SUSPECT(1),
    DEAD(2),
    LEFT(3);

    private final int rank;

    State(int rank) {
      this.rank = rank;
    }
  }

  Member with(State newState, long newIncarnation) {
    return new Member(vm, dataCentre, region, address, newState, newIncarnation);
  }

  /** Returns true if work may be given to the member. */
  public boolean isUsable() {
    return state == State.ALIVE || state == State.SUSPECT;
  }

  /** Returns true if this view replaces an older one of the same member. */
  boolean overrides(Member known) {
    if (incarnation != known.incarnation) {
      return incarnation > known.incarnation;
    }
    return state.rank > known.state.rank;
  }
}
