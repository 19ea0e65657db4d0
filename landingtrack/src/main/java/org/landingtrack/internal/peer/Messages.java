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

/** The messages between landingtrack's own processes. Times are in milliseconds. */
public final class Messages {
  private Messages() {}

  /**
   * Asks for configuration after a revision, waiting for it if need be.
   *
   * @param subscriber name of the asking process, which has {@code afterRevision} in force
   * @param gateway true if the asking process is a gateway
   */
  public record ConfigPull(String subscriber, boolean gateway, long afterRevision, long waitMs) {}

  /**
   * Configuration after a revision.
   *
   * @param complete false if the answering process has no configuration itself yet
   */
  public record ConfigAnswer(boolean complete, ConfigDelta delta) {}

  /** Asks for the answering controller's revision. */
  public record RevisionQuery() {}

  /** A controller's revision. */
  public record RevisionAnswer(long revision) {}

  /** Asks what a controller and its gateways have in force. */
  public record InForceQuery() {}

  /** A process with the revision that it has in force. */
  public record InForce(String process, long revision) {}

  /** What the controller and the gateways that pull from it have in force. */
  public record InForceAnswer(List<InForce> processes) {}

  /** Asks for the live controllers. */
  public record MembersQuery() {}

  /** One controller. */
  public record MemberInfo(
      String vm,
      String dataCentre,
      String region,
      String address,
      String state,
      long incarnation) {}

  /**
   * The controllers that the answering one knows.
   *
   * @param leaving backend servers that the VM list says are leaving
   */
  public record MembersAnswer(List<MemberInfo> members, List<String> leaving) {}

  /**
   * Asks who holds the longest part of a prompt.
   *
   * @param group key of the first block
   * @param chain keys of all blocks in order
   */
  public record HoldersQuery(String service, String group, List<String> chain) {}

  /**
   * A backend server that holds the first {@code depth} blocks.
   *
   * @param kept id of the manifest if this is a store VM; empty for an engine
   */
  public record Holder(String server, int depth, String kept) {}

  /** The holders, deepest first. */
  public record HoldersAnswer(List<Holder> holders) {}

  /** Facts about what a backend server holds, from its owner to the prefix's owner. */
  public record FactsUpdate(List<Fact> facts) {}

  /**
   * One fact.
   *
   * @param held false if the block is gone
   */
  public record Fact(String group, String key, String server, String kept, boolean held) {}

  /** Says that everything known about a server is void; its facts follow anew. */
  public record FactsReset(String server) {}

  /** Says that a message was taken. */
  public record Taken() {}

  /** Asks to claim a request key for one run. */
  public record ClaimQuery(String keyHash, String claimant) {}

  /** The outcome of a claim: CLAIMED, TAKEN, FULL or UNAVAILABLE. */
  public record ClaimAnswer(String outcome, String claimant, long retryAfterMs) {}

  /** Gives up the claim of a request that never ran. */
  public record ClaimRelease(String keyHash, String claimant) {}

  /**
   * What a gateway wants of teams' limits, to the teams' owner.
   *
   * @param wanted share of the limit for each team, 0 to 1
   */
  public record ShareQuery(String gateway, List<String> teams, List<Double> wanted) {}

  /** The shares that the gateway may use, in the order of the query. */
  public record ShareAnswer(List<Double> shares) {}

  /** Explanations of decisions, from a gateway to its controller. */
  public record Explained(List<Explanation> explanations) {}

  /** What was decided for one request. */
  public record Explanation(String requestId, List<String> sentences) {}

  /** Asks for the explanation of one request. */
  public record ExplainQuery(String requestId) {}

  /** An explanation; no sentences if nothing is known. */
  public record ExplainAnswer(List<String> sentences) {}
}
