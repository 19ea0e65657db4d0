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
 * The input of a routing decision.
 *
 * @param chain block keys of the prompt
 * @param servers candidate servers, including ejected ones
 * @param holders engines and store VMs that are known to hold blocks of the prompt
 * @param costWeights weights of the cost terms, from the service's settings
 * @param links current state of the links to the store VMs
 * @param waitingPerServer waiting requests per server: each millisecond of a server's work delays
 *     that many requests by a millisecond; 0 if none wait
 * @param dataCentre data centre of the gateway
 * @param nowMs current time on the monotonic clock
 */
public record RouteQuery(
    PrefixChain chain,
    List<ServerSnapshot> servers,
    List<Holder> holders,
    CostWeights costWeights,
    LinkState links,
    double waitingPerServer,
    String dataCentre,
    long nowMs) {

  /**
   * Weights of the cost terms.
   *
   * @param ttftMs weight of a millisecond of time to first token and of delay of other requests
   * @param recomputedToken weight of a prompt token that is not reused
   * @param linkMegabyte weight of a megabyte (10^6 bytes) moved over a link
   */
  public record CostWeights(double ttftMs, double recomputedToken, double linkMegabyte) {}

  /**
   * The state of the links to the store VMs.
   *
   * @param bytesPerMs observed speed of restores
   * @param budgetBytes bytes that the link budget allows now
   * @param usedBudgetShare used share of the link budget, 0 to 1
   * @param kvBytesPerToken size of a token's KV cache in bytes
   * @param overheadMs time of a restore apart from the transfer of its bytes
   */
  public record LinkState(
      double bytesPerMs,
      long budgetBytes,
      double usedBudgetShare,
      int kvBytesPerToken,
      double overheadMs) {}
}
