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
package org.landingtrack.internal.routing;

import java.util.List;
import org.landingtrack.internal.peer.Messages.Holder;
import org.landingtrack.internal.prefix.PrefixChain;

/**
 * Everything that a routing decision rests on.
 *
 * @param chain content keys of the prompt
 * @param servers the candidates
 * @param holders what is known about who holds the prompt's blocks, engines and store VMs
 * @param weights what the service weighs
 * @param links what moving kept state costs now
 * @param pressure requests that each millisecond of a server's work delays by as much; 0 when
 *     nobody waits
 * @param dataCentre the gateway's own
 * @param nowMs monotonic time
 */
public record RouteQuery(
    PrefixChain chain,
    List<ServerView> servers,
    List<Holder> holders,
    Weights weights,
    Links links,
    double pressure,
    String dataCentre,
    long nowMs) {

  /** Weights of a millisecond, a recomputed token and a megabyte. */
  public record Weights(double ttftMs, double recomputedToken, double linkMegabyte) {}

  /**
   * The state of the links to the store VMs.
   *
   * @param bytesPerMs observed speed of a restore
   * @param budgetBytes bytes that may be moved now
   * @param scarcity share of the budget that is used up, 0 to 1
   * @param kvBytesPerToken size of a token's state
   * @param fixedMs time of a restore of no bytes
   */
  public record Links(
      double bytesPerMs, long budgetBytes, double scarcity, int kvBytesPerToken, double fixedMs) {}
}
