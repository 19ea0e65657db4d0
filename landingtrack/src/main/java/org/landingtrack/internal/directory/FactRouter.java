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
package org.landingtrack.internal.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.membership.Member;
import org.landingtrack.internal.peer.Messages.Fact;
import org.landingtrack.internal.peer.Messages.FactsReset;
import org.landingtrack.internal.peer.Messages.FactsUpdate;
import org.landingtrack.internal.peer.Messages.Taken;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends each fact to the owner of its group and to one further controller, the next by rendezvous
 * hashing, so that the directory survives the loss of one controller. Thread-safe.
 */
public final class FactRouter implements FactSink {
  private static final Logger log = LoggerFactory.getLogger("directory");
  private static final int REPLICAS = 2;
  private static final int CALL_TIMEOUT_MS = 1_000;

  private final String self;
  private final Supplier<List<Member>> members;
  private final PeerClient peers;
  private final PrefixDirectory directory;
  private final Consumer<List<Fact>> localHandler;

  /**
   * Creates a router.
   *
   * @param self name of this controller's VM
   * @param members returns the usable controllers of the data centre, including this one
   * @param directory directory of this controller
   * @param localHandler receives the facts of groups that this controller owns
   */
  public FactRouter(
      String self,
      Supplier<List<Member>> members,
      PeerClient peers,
      PrefixDirectory directory,
      Consumer<List<Fact>> localHandler) {
    this.self = self;
    this.members = members;
    this.peers = peers;
    this.directory = directory;
    this.localHandler = localHandler;
  }

  @Override
  public void publish(List<Fact> facts) {
    List<Member> controllers = members.get();
    Map<String, List<Member>> ownersOfGroup = new HashMap<>();
    Map<Member, List<Fact>> batches = new HashMap<>();
    for (Fact fact : facts) {
      List<Member> owners =
          ownersOfGroup.computeIfAbsent(
              fact.group(), group -> Hashes.rendezvous(group, controllers, Member::vm));
      for (int i = 0; i < Math.min(REPLICAS, owners.size()); i++) {
        batches.computeIfAbsent(owners.get(i), owner -> new ArrayList<>()).add(fact);
      }
    }
    batches.forEach(this::send);
  }

  private void send(Member owner, List<Fact> batch) {
    if (owner.vm().equals(self)) {
      localHandler.accept(batch);
      return;
    }
    try {
      var unused =
          peers.call(owner.address(), new FactsUpdate(batch), Taken.class, CALL_TIMEOUT_MS);
    } catch (PeerException e) {
      // Facts are hints, and the second owner of the group receives them too.
      log.debug("Could not send facts to controller {}: {}.", owner.vm(), e.getMessage());
    }
  }

  @Override
  public void reset(String server) {
    for (Member member : members.get()) {
      if (member.vm().equals(self)) {
        directory.dropServer(server);
        continue;
      }
      try {
        var unused =
            peers.call(member.address(), new FactsReset(server), Taken.class, CALL_TIMEOUT_MS);
      } catch (PeerException e) {
        log.debug(
            "Could not send the reset of a server to controller {}: {}.",
            member.vm(),
            e.getMessage());
      }
    }
  }
}
