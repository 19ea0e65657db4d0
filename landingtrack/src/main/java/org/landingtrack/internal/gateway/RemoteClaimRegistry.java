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
package org.landingtrack.internal.gateway;

import java.util.List;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.claim.ClaimShard.Outcome;
import org.landingtrack.internal.claim.ClaimShards;
import org.landingtrack.internal.dispatch.ClaimRegistry;
import org.landingtrack.internal.peer.Messages.ClaimAnswer;
import org.landingtrack.internal.peer.Messages.ClaimQuery;
import org.landingtrack.internal.peer.Messages.ClaimRelease;
import org.landingtrack.internal.peer.Messages.MemberInfo;
import org.landingtrack.internal.peer.Messages.Taken;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerException;

/**
 * Claims request keys at the controller that owns the key's shard, or at its successor if the owner
 * does not answer. Thread-safe.
 */
final class RemoteClaimRegistry implements ClaimRegistry {
  private static final int TIMEOUT_MS = 4_000;
  private static final int MAX_OWNERS = 2;

  private final ControllerLink link;
  private final PeerClient peers;

  RemoteClaimRegistry(ControllerLink link, PeerClient peers) {
    this.link = link;
    this.peers = peers;
  }

  @Override
  public void claim(String keyHash, String requestId) {
    ClaimAnswer answer = callOwner(keyHash, requestId);
    switch (Outcome.valueOf(answer.outcome())) {
      case CLAIMED -> {}
      case TAKEN ->
          throw new LandingtrackException(
              ErrorKind.DUPLICATE_KEY,
              "request " + answer.claimant() + " already claimed this request key");
      case FULL ->
          throw new LandingtrackException(
              ErrorKind.PLATFORM_UNAVAILABLE,
              "too many request keys are claimed now; the shard of this one is full");
      case UNAVAILABLE ->
          throw new LandingtrackException(
              ErrorKind.PLATFORM_UNAVAILABLE,
              "the platform did not confirm the claim of the request key");
    }
  }

  private ClaimAnswer callOwner(String keyHash, String requestId) {
    List<MemberInfo> owners = link.ownersOf(ClaimShards.shardOf(keyHash));
    for (int i = 0; i < Math.min(MAX_OWNERS, owners.size()); i++) {
      try {
        return peers.call(
            owners.get(i).address(),
            new ClaimQuery(keyHash, requestId),
            ClaimAnswer.class,
            TIMEOUT_MS);
      } catch (PeerException e) {
        // Tries the successor. Repeating a claim is safe: a request id may claim its key twice.
      }
    }
    throw new LandingtrackException(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "no controller that owns the request key answered the claim");
  }

  @Override
  public void release(String keyHash, String requestId) {
    List<MemberInfo> owners = link.ownersOf(ClaimShards.shardOf(keyHash));
    if (owners.isEmpty()) {
      return;
    }
    try {
      var unused =
          peers.call(
              owners.get(0).address(),
              new ClaimRelease(keyHash, requestId),
              Taken.class,
              TIMEOUT_MS);
    } catch (PeerException e) {
      // The claim stays until it expires, which is safe.
    }
  }
}
