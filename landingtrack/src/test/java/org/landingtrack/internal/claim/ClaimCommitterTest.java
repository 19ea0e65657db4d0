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
package org.landingtrack.internal.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.landingtrack.internal.claim.ClaimShard.ClaimRequest;
import org.landingtrack.internal.claim.ClaimShard.ClaimResult;
import org.landingtrack.internal.claim.ClaimShard.Outcome;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.platform.FakeObjectApi.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the batched commits of claims, also with lost answers and two committers of one shard. */
public final class ClaimCommitterTest {
  private final AtomicLong wallClockMs = new AtomicLong(1_000_000);

  private ClaimCommitter committer(FakeObjectApi api) {
    return new ClaimCommitter(api, "shard-1", wallClockMs::get);
  }

  private static Outcome claimOne(ClaimCommitter committer, String key, String requestId) {
    return committer.commit(List.of(new ClaimRequest(key, requestId)), Set.of()).get(0).outcome();
  }

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {new Fault[] {}, Outcome.CLAIMED},
      {new Fault[] {Fault.LOST_ANSWER}, Outcome.CLAIMED},
      {new Fault[] {Fault.LOST_CALL}, Outcome.CLAIMED},
      {new Fault[] {Fault.LOST_ANSWER, Fault.LOST_CALL}, Outcome.CLAIMED},
      {new Fault[] {Fault.LOST_CALL, Fault.LOST_CALL, Fault.LOST_ANSWER}, Outcome.CLAIMED},
      {new Fault[] {Fault.REJECTED}, Outcome.UNAVAILABLE},
      {new Fault[] {Fault.LOST_CALL, Fault.REJECTED}, Outcome.UNAVAILABLE},
    };
  }

  @Test(dataProvider = "faults")
  public void confirmsClaimOnlyAfterItTookEffect(Fault[] faults, Outcome expected) {
    FakeObjectApi api = new FakeObjectApi().failWrites(faults);
    ClaimCommitter first = committer(api);
    assertEquals(claimOne(first, "k", "a"), expected);
    Outcome second = claimOne(committer(api), "k", "b");
    assertEquals(second, expected == Outcome.CLAIMED ? Outcome.TAKEN : Outcome.CLAIMED);
  }

  /** Two controllers consider themselves the owner; one was suspended and has old content. */
  @Test
  public void pausedCommitterLosesToNewerCommit() {
    FakeObjectApi api = new FakeObjectApi();
    ClaimCommitter paused = committer(api);
    ClaimCommitter fresh = committer(api);
    assertEquals(claimOne(paused, "warm-up", "x"), Outcome.CLAIMED);
    assertEquals(claimOne(fresh, "k", "b"), Outcome.CLAIMED);
    assertEquals(claimOne(paused, "k", "a"), Outcome.TAKEN);
  }

  @Test
  public void sameRequestMayRepeatItsClaim() {
    FakeObjectApi api = new FakeObjectApi();
    ClaimCommitter committer = committer(api);
    assertEquals(claimOne(committer, "k", "a"), Outcome.CLAIMED);
    assertEquals(claimOne(committer, "k", "a"), Outcome.CLAIMED);
    assertEquals(api.writes(), 1);
  }

  @Test
  public void releasedKeyCanBeClaimedAgain() {
    FakeObjectApi api = new FakeObjectApi();
    ClaimCommitter committer = committer(api);
    claimOne(committer, "k", "a");
    committer.commit(List.of(), Set.of("a"));
    assertEquals(claimOne(committer(api), "k", "b"), Outcome.CLAIMED);
  }

  /**
   * Guards against a request that runs twice though it must not be repeated. The owner of its key
   * cannot confirm the claim, but is suspended before its answer is sent. After four seconds the
   * gateway asks the successor, which confirms the claim, and the request runs. If the owner then
   * releases the claim with its next commit, the caller's second request gets the key and runs too.
   * Only the gateway knows that a request never runs, so only it may release a claim.
   */
  @Test
  public void ownerDoesNotReleaseClaimThatSuccessorConfirmed() throws Exception {
    FakeObjectApi api = new FakeObjectApi().failWrites(Fault.REJECTED);
    try (ClaimCommitter owner = committer(api);
        ClaimCommitter successor = committer(api)) {
      assertEquals(owner.claim(new ClaimRequest("k", "a")).get().outcome(), Outcome.UNAVAILABLE);
      assertEquals(successor.claim(new ClaimRequest("k", "a")).get().outcome(), Outcome.CLAIMED);
      assertEquals(owner.claim(new ClaimRequest("other", "x")).get().outcome(), Outcome.CLAIMED);
      assertEquals(owner.claim(new ClaimRequest("k", "b")).get().outcome(), Outcome.TAKEN);
    }
  }

  @Test
  public void keyIsFreeAfterClaimExpires() {
    FakeObjectApi api = new FakeObjectApi();
    ClaimCommitter committer = committer(api);
    claimOne(committer, "k", "a");
    wallClockMs.addAndGet(ClaimShard.CLAIM_TTL_MS - 1);
    assertEquals(claimOne(committer, "k", "b"), Outcome.TAKEN);
    wallClockMs.addAndGet(1);
    assertEquals(claimOne(committer, "k", "b"), Outcome.CLAIMED);
  }

  @Test
  public void fullShardRejectsClaims() {
    FakeObjectApi api = new FakeObjectApi();
    List<ClaimRequest> requests = new ArrayList<>();
    for (int i = 0; i <= ClaimShard.MAX_CLAIMS; i++) {
      requests.add(new ClaimRequest("k" + i, "a" + i));
    }
    List<ClaimResult> results = committer(api).commit(requests, Set.of());
    assertEquals(results.get(ClaimShard.MAX_CLAIMS).outcome(), Outcome.FULL);
    assertEquals(api.writes(), 1);
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{21L}, {22L}, {23L}, {24L}, {25L}};
  }

  /** No key is confirmed for two requests despite several committers, lost answers and outages. */
  @Test(dataProvider = "seeds")
  public void noKeyIsConfirmedTwice(long seed) {
    Random random = new Random(seed);
    FakeObjectApi api = new FakeObjectApi();
    List<ClaimCommitter> committers = List.of(committer(api), committer(api), committer(api));
    Map<String, String> confirmedIds = new HashMap<>();
    int confirmed = 0;
    for (int step = 0; step < 1_000; step++) {
      if (random.nextInt(4) == 0) {
        api.failWrites(Fault.values()[random.nextInt(3)]);
      }
      String key = "k" + random.nextInt(300);
      String requestId = "r" + step;
      ClaimCommitter committer = committers.get(random.nextInt(3));
      if (claimOne(committer, key, requestId) == Outcome.CLAIMED) {
        confirmed++;
        assertEquals(confirmedIds.putIfAbsent(key, requestId), null, key + " was confirmed twice");
      }
    }
    assertTrue(confirmed > 100, "only " + confirmed + " claims were confirmed");
  }

  @Test
  public void pendingClaimsShareOneWrite() throws Exception {
    FakeObjectApi api = new FakeObjectApi();
    try (ClaimCommitter committer = committer(api)) {
      List<java.util.concurrent.CompletableFuture<ClaimResult>> futures = new ArrayList<>();
      for (int i = 0; i < 500; i++) {
        futures.add(committer.claim(new ClaimRequest("k" + i, "r" + i)));
      }
      for (var future : futures) {
        assertEquals(future.get().outcome(), Outcome.CLAIMED);
      }
    }
    assertTrue(api.writes() < 500, api.writes() + " writes for 500 claims");
  }
}
