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
import org.landingtrack.internal.claim.ClaimShard.Outcome;
import org.landingtrack.internal.claim.ClaimShard.Verdict;
import org.landingtrack.internal.claim.ClaimShard.Wish;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.platform.FakeObjectApi.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class ClaimCommitterTest {
  private final AtomicLong wall = new AtomicLong(1_000_000);

  private ClaimCommitter committer(FakeObjectApi api) {
    return new ClaimCommitter(api, "shard-1", wall::get);
  }

  private static Outcome one(ClaimCommitter committer, String key, String by) {
    return committer.commit(List.of(new Wish(key, by)), Set.of()).get(0).outcome();
  }

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {new Fault[] {}, Outcome.CLAIMED},
      {new Fault[] {Fault.LOST_ANSWER}, Outcome.CLAIMED},
      {new Fault[] {Fault.LOST_CALL}, Outcome.CLAIMED},
      {new Fault[] {Fault.LOST_ANSWER, Fault.LOST_CALL}, Outcome.CLAIMED},
      {new Fault[] {Fault.LOST_CALL, Fault.LOST_CALL, Fault.LOST_ANSWER}, Outcome.CLAIMED},
      {new Fault[] {Fault.OUT}, Outcome.UNAVAILABLE},
      {new Fault[] {Fault.LOST_CALL, Fault.OUT}, Outcome.UNAVAILABLE},
    };
  }

  @Test(dataProvider = "faults")
  public void aClaimIsConfirmedOnlyOnceItTookEffect(Fault[] faults, Outcome expected) {
    FakeObjectApi api = new FakeObjectApi().failWrites(faults);
    ClaimCommitter first = committer(api);
    assertEquals(one(first, "k", "a"), expected);
    Outcome second = one(committer(api), "k", "b");
    assertEquals(second, expected == Outcome.CLAIMED ? Outcome.TAKEN : Outcome.CLAIMED);
  }

  /** Two controllers both think that they own the shard; one was paused with old content. */
  @Test
  public void aPausedCommitterLosesToTheNewOne() {
    FakeObjectApi api = new FakeObjectApi();
    ClaimCommitter paused = committer(api);
    ClaimCommitter fresh = committer(api);
    assertEquals(one(paused, "warm-up", "x"), Outcome.CLAIMED);
    assertEquals(one(fresh, "k", "b"), Outcome.CLAIMED);
    assertEquals(one(paused, "k", "a"), Outcome.TAKEN);
  }

  @Test
  public void theSameRequestMayAskAgain() {
    FakeObjectApi api = new FakeObjectApi();
    ClaimCommitter committer = committer(api);
    assertEquals(one(committer, "k", "a"), Outcome.CLAIMED);
    assertEquals(one(committer, "k", "a"), Outcome.CLAIMED);
    assertEquals(api.writes(), 1);
  }

  @Test
  public void aReleasedClaimMayBeTakenAgain() {
    FakeObjectApi api = new FakeObjectApi();
    ClaimCommitter committer = committer(api);
    one(committer, "k", "a");
    committer.commit(List.of(), Set.of("a"));
    assertEquals(one(committer(api), "k", "b"), Outcome.CLAIMED);
  }

  /**
   * A caller's request that must not be repeated ran twice. The owner of its key could not confirm
   * the claim and said so, but stood still before its answer was out; after four seconds the
   * gateway asked the successor, which confirmed the claim, and the request ran. The owner took the
   * request as refused and gave the claim back with its next commit; the caller's second request
   * got the key and ran as well. Only the gateway knows that a request never runs, and says so.
   */
  @Test
  public void aClaimThatTheSuccessorConfirmedIsNotGivenBackByTheOwner() throws Exception {
    FakeObjectApi api = new FakeObjectApi().failWrites(Fault.OUT);
    try (ClaimCommitter owner = committer(api);
        ClaimCommitter successor = committer(api)) {
      assertEquals(owner.claim(new Wish("k", "a")).get().outcome(), Outcome.UNAVAILABLE);
      assertEquals(successor.claim(new Wish("k", "a")).get().outcome(), Outcome.CLAIMED);
      assertEquals(owner.claim(new Wish("other", "x")).get().outcome(), Outcome.CLAIMED);
      assertEquals(owner.claim(new Wish("k", "b")).get().outcome(), Outcome.TAKEN);
    }
  }

  @Test
  public void aKeyIsFreeAgainAfterItsTime() {
    FakeObjectApi api = new FakeObjectApi();
    ClaimCommitter committer = committer(api);
    one(committer, "k", "a");
    wall.addAndGet(ClaimShard.KEEP_MS - 1);
    assertEquals(one(committer, "k", "b"), Outcome.TAKEN);
    wall.addAndGet(1);
    assertEquals(one(committer, "k", "b"), Outcome.CLAIMED);
  }

  @Test
  public void aFullShardRefuses() {
    FakeObjectApi api = new FakeObjectApi();
    List<Wish> wishes = new ArrayList<>();
    for (int i = 0; i <= ClaimShard.MAX_CLAIMS; i++) {
      wishes.add(new Wish("k" + i, "a" + i));
    }
    List<Verdict> verdicts = committer(api).commit(wishes, Set.of());
    assertEquals(verdicts.get(ClaimShard.MAX_CLAIMS).outcome(), Outcome.FULL);
    assertEquals(api.writes(), 1);
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{21L}, {22L}, {23L}, {24L}, {25L}};
  }

  /** Several committers, lost answers and outages: no key is ever confirmed for two requests. */
  @Test(dataProvider = "seeds")
  public void noKeyIsConfirmedTwice(long seed) {
    Random random = new Random(seed);
    FakeObjectApi api = new FakeObjectApi();
    List<ClaimCommitter> committers = List.of(committer(api), committer(api), committer(api));
    Map<String, String> winner = new HashMap<>();
    int confirmed = 0;
    for (int step = 0; step < 1_000; step++) {
      if (random.nextInt(4) == 0) {
        api.failWrites(Fault.values()[random.nextInt(3)]);
      }
      String key = "k" + random.nextInt(300);
      String by = "r" + step;
      ClaimCommitter committer = committers.get(random.nextInt(3));
      if (one(committer, key, by) == Outcome.CLAIMED) {
        confirmed++;
        assertEquals(winner.putIfAbsent(key, by), null, key + " was confirmed twice");
      }
    }
    assertTrue(confirmed > 100, "only " + confirmed + " claims were confirmed");
  }

  @Test
  public void claimsThatWaitGoTogetherInOneWrite() throws Exception {
    FakeObjectApi api = new FakeObjectApi();
    try (ClaimCommitter committer = committer(api)) {
      List<java.util.concurrent.CompletableFuture<Verdict>> futures = new ArrayList<>();
      for (int i = 0; i < 500; i++) {
        futures.add(committer.claim(new Wish("k" + i, "r" + i)));
      }
      for (var future : futures) {
        assertEquals(future.get().outcome(), Outcome.CLAIMED);
      }
    }
    assertTrue(api.writes() < 500, api.writes() + " writes for 500 claims");
  }
}
