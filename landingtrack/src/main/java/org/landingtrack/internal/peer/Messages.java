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
package org.landingtrack.internal.peer;

import java.util.List;
import org.landingtrack.internal.config.ConfigDelta;

/**
 * The messages between landingtrack's own processes. The simple name of a record and the names of
 * its components are written to the wire. Times are in milliseconds.
 */
public final class Messages {
  private Messages() {}

  /**
   * Asks for the configuration changes after a revision; long polling.
   *
   * @param subscriber name of the requesting process, which has {@code afterRevision} in force
   * @param gateway true if the requesting process is a gateway
   * @param waitMs how long to wait for a newer revision at most
   */
  public record ConfigPull(String subscriber, boolean gateway, long afterRevision, long waitMs) {}

  /**
   * The configuration changes after a revision.
   *
   * @param complete false if the answering process has not yet received a whole configuration
   */
  public record ConfigAnswer(boolean complete, ConfigDelta delta) {}

  /** Asks a controller for its configuration revision. */
  public record RevisionQuery() {}

  /** The configuration revision of a controller. */
  public record RevisionAnswer(long revision) {}

  /** Asks which revisions a controller and its gateways have in force. */
  public record InForceQuery() {}

  /** A process and the revision that it has in force. */
  public record InForce(String process, long revision) {}

  /** The revisions in force in the controller and in the gateways that pull from it. */
  public record InForceAnswer(List<InForce> processes) {}

  /** Asks for the controllers that the receiver knows. */
  public record MembersQuery() {}

  /**
   * A controller and its state in the membership protocol.
   *
   * @param vm name of its VM
   * @param address {@code host:port} of its peer port
   * @param state name of a membership state, such as ALIVE
   * @param incarnation number that only the controller itself raises, to refute a false suspicion
   */
  public record MemberInfo(
      String vm,
      String dataCentre,
      String region,
      String address,
      String state,
      long incarnation) {}

  /**
   * The controllers that the answering controller knows.
   *
   * @param leaving backend servers that are leaving according to the VM list
   */
  public record MembersAnswer(List<MemberInfo> members, List<String> leaving) {}

  /**
   * Asks which backend servers hold the longest prefixes of a prompt.
   *
   * @param service name of the service
   * @param group key of the first block
   * @param chain keys of all blocks in order
   */
  public record HoldersQuery(String service, String group, List<String> chain) {}

  /**
   * A backend server that holds the first {@code depth} blocks of a prompt.
   *
   * @param kept id of the manifest if the server is a store VM; empty for an engine
   */
  public record Holder(String server, int depth, String kept) {}

  /** The holders, those with the longest prefix first. */
  public record HoldersAnswer(List<Holder> holders) {}

  /**
   * Facts about the blocks that a backend server holds, from the controller that follows the server
   * to the controller that owns the group.
   */
  public record FactsUpdate(List<Fact> facts) {}

  /**
   * A fact: a backend server holds a block or no longer holds it.
   *
   * @param group key of the first block of the prompt
   * @param key key of the block
   * @param server name of the backend server
   * @param kept id of the manifest if the server is a store VM; empty for an engine
   * @param held false if the server no longer holds the block
   */
  public record Fact(String group, String key, String server, String kept, boolean held) {}

  /** Invalidates all facts about a backend server; its current facts follow. */
  public record FactsReset(String server) {}

  /** Acknowledges a message. */
  public record Taken() {}

  /**
   * Claims a request key, so that the request runs only once.
   *
   * @param keyHash hash of the request key
   * @param claimant identifies who claims the key
   */
  public record ClaimQuery(String keyHash, String claimant) {}

  /**
   * The outcome of a claim.
   *
   * @param outcome CLAIMED, TAKEN, FULL or UNAVAILABLE
   * @param claimant who holds the claim
   * @param retryAfterMs when to try again
   */
  public record ClaimAnswer(String outcome, String claimant, long retryAfterMs) {}

  /** Releases the claim of a request that never ran. */
  public record ClaimRelease(String keyHash, String claimant) {}

  /**
   * Asks the controller that owns teams for shares of their limits.
   *
   * @param gateway name of the gateway
   * @param teams names of the teams
   * @param wanted share of the limit that the gateway wants for each team, 0 to 1
   */
  public record ShareQuery(String gateway, List<String> teams, List<Double> wanted) {}

  /** The shares of the limits that the gateway may use, 0 to 1, in the order of the query. */
  public record ShareAnswer(List<Double> shares) {}

  /** Explanations of decisions on requests, from a gateway to its controller. */
  public record Explained(List<Explanation> explanations) {}

  /** The explanation of the decisions on one request. */
  public record Explanation(String requestId, List<String> sentences) {}

  /** Asks for the explanation of one request. */
  public record ExplainQuery(String requestId) {}

  /** The explanation of one request; no sentences if none is known. */
  public record ExplainAnswer(List<String> sentences) {}
}
