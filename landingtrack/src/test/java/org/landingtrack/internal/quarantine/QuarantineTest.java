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
package org.landingtrack.internal.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.quarantine.Quarantine.Change;
import org.landingtrack.internal.quarantine.Quarantine.Suspicion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What VMs know of requests under which servers ended, and how they join it. */
public final class QuarantineTest {
  private static final int SEEDS = 200;
  private static final RequestDigest CULPRIT = digest(0);

  private FakeTicker ticker = new FakeTicker();
  private Quarantine quarantine = new Quarantine(ticker);

  @BeforeMethod
  public void empty() {
    ticker = new FakeTicker();
    quarantine = new Quarantine(ticker);
  }

  private static RequestDigest digest(int number) {
    return RequestDigest.of("team", "POST", "h", "/" + number, new byte[number % 7]);
  }

  private static void tell(Quarantine from, Quarantine to) {
    from.nextRound();
    to.heard(from.news());
  }

  @Test
  public void threeDifferentStartsDecide() {
    List<Suspicion> changes = new ArrayList<>();
    quarantine.onChange(changes::add);
    for (long start : new long[] {1, 1, 2, 2, 2, 3, 4}) {
      quarantine.charge(CULPRIT, start);
    }
    List<Change> kinds = changes.stream().map(Suspicion::change).toList();
    assertEquals(
        kinds, List.of(Change.CHARGED, Change.CHARGED, Change.QUARANTINED, Change.CHARGED));
    assertTrue(quarantine.holds(CULPRIT));
    assertFalse(quarantine.holds(digest(1)));
  }

  /** A digest is only worth computing if its result can be known. */
  @Test
  public void requestsOfOtherLengthsAreToldApartWithoutADigest() {
    assertFalse(quarantine.mayKnow(3));
    quarantine.charge(digest(3), 1);
    quarantine.charge(digest(10), 1);
    assertTrue(quarantine.mayKnow(3));
    assertFalse(quarantine.mayKnow(4));
    ticker.pass(Quarantine.KEPT_MS + 1);
    assertEquals(quarantine.ends(digest(3)), 0);
    assertTrue(quarantine.mayKnow(3), "another of that length is still known");
    assertEquals(quarantine.ends(digest(10)), 0);
    assertFalse(quarantine.mayKnow(3));
  }

  @Test
  public void whatEndedWellIsBlamedForNothingBeforeOnAnyVm() {
    Quarantine other = new Quarantine(ticker);
    quarantine.charge(CULPRIT, 1);
    quarantine.charge(CULPRIT, 2);
    tell(quarantine, other);
    assertEquals(other.ends(CULPRIT), 2);
    other.endedWell(CULPRIT);
    tell(quarantine, other);
    assertEquals(other.ends(CULPRIT), 0, "old blame that is heard again does not count");
    tell(other, quarantine);
    quarantine.charge(CULPRIT, 3);
    assertEquals(quarantine.ends(CULPRIT), 1);
  }

  /** VMs that hear the same, in any order, late and again, know the same. */
  @Test
  public void orderAndRepetitionOfNewsDoNotMatter() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      List<SuspectNews> news = new ArrayList<>();
      Quarantine seen = new Quarantine(ticker);
      for (int step = 0; step < 9; step++) {
        if (random.nextInt(4) == 0) {
          seen.endedWell(CULPRIT);
        } else {
          seen.charge(CULPRIT, random.nextInt(6));
        }
        seen.nextRound();
        news.addAll(seen.news());
      }
      List<SuspectNews> shuffled = new ArrayList<>(news);
      shuffled.addAll(news);
      Collections.shuffle(shuffled, random);
      Quarantine late = new Quarantine(ticker);
      late.heard(shuffled);
      assertEquals(late.ends(CULPRIT), seen.ends(CULPRIT), "seed " + seed);
    }
  }

  /** Half of the datagrams are lost; a VM that was cut off or started hears by reminders. */
  @Test
  public void allVmsKnowWithinASecondAndAHalfAlsoWhenDatagramsAreLost() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      Quarantine seen = new Quarantine(ticker);
      Quarantine other = new Quarantine(ticker);
      Quarantine started = new Quarantine(ticker);
      for (int i = 0; i < 100; i++) {
        seen.charge(digest(1 + i), 1);
      }
      for (int start = 1; start <= 3; start++) {
        seen.charge(CULPRIT, start);
      }
      for (int round = 0; round < 15; round++) {
        seen.nextRound();
        assertTrue(seen.news().size() <= Quarantine.MAX_TOLD);
        if (random.nextBoolean()) {
          other.heard(seen.news());
        }
      }
      assertTrue(other.holds(CULPRIT), "seed " + seed);
      for (int round = 0; round < 40; round++) {
        tell(seen, started);
      }
      assertTrue(started.holds(CULPRIT), "seed " + seed);
    }
  }

  /** Other requests are charged in each round; a VM that started hears of the quarantined one. */
  @Test
  public void whatIsQuarantinedIsToldAgainAlsoWhileThereIsMuchNews() {
    for (int start = 1; start <= 3; start++) {
      quarantine.charge(CULPRIT, start);
    }
    for (int i = 0; i < 30; i++) {
      quarantine.nextRound();
    }
    Quarantine started = new Quarantine(ticker);
    for (int round = 0; round < 10; round++) {
      quarantine.charge(digest(1 + round), 1);
      tell(quarantine, started);
    }
    assertTrue(started.holds(CULPRIT));
  }

  @Test
  public void nothingIsToldWhileNoServerEnded() {
    quarantine.nextRound();
    assertEquals(quarantine.news(), List.of());
  }

  @Test
  public void anHourAfterItsLastEndARequestIsServedAgain() {
    for (int start = 1; start <= 3; start++) {
      quarantine.charge(CULPRIT, start);
      ticker.pass(Quarantine.KEPT_MS / 2);
    }
    assertTrue(quarantine.holds(CULPRIT));
    assertEquals(quarantine.leftMs(CULPRIT), Quarantine.KEPT_MS / 2);
    Quarantine other = new Quarantine(ticker);
    tell(quarantine, other);
    ticker.pass(Quarantine.KEPT_MS / 2 + 1);
    assertFalse(quarantine.holds(CULPRIT));
    assertFalse(other.holds(CULPRIT), "what is heard is as old as it is");
  }

  /** What nobody asks for is forgotten as well, and no VM is told of it any more. */
  @Test
  public void oldSuspectsAreNotRememberedForEver() {
    quarantine.charge(digest(3), 1);
    ticker.pass(Quarantine.KEPT_MS + 1);
    for (int round = 0; round < 20; round++) {
      quarantine.nextRound();
    }
    assertEquals(quarantine.news(), List.of());
    assertFalse(quarantine.mayKnow(3));
  }

  /** Room is bounded, and a flood of suspects does not push out what is quarantined. */
  @Test
  public void manySuspectsDoNotPushOutTheQuarantined() {
    for (int start = 1; start <= 3; start++) {
      quarantine.charge(CULPRIT, start);
    }
    for (int i = 1; i <= 3 * Quarantine.MAX_SUSPECTS; i++) {
      quarantine.charge(digest(i), i);
    }
    assertTrue(quarantine.holds(CULPRIT));
    assertEquals(quarantine.ends(digest(1)), 0);
    assertEquals(quarantine.ends(digest(3 * Quarantine.MAX_SUSPECTS)), 1);
  }

  /**
   * A third of the servers end in 34 s for other reasons. Requests last half a second and are sent
   * up to four times, by the VM and by their caller; all of them are as long as any other.
   */
  @Test
  public void noneOf200000InnocentRequestsIsQuarantinedOnADayOfCrashes() {
    Random random = new Random(1);
    int servers = 13;
    double endsInOneSend = (1.0 / 3) * (0.5 / 34);
    int refused = 0;
    for (int i = 1; i <= 200_000; i++) {
      for (int send = 0; send < 4; send++) {
        if (random.nextDouble() >= endsInOneSend) {
          quarantine.endedWell(digest(i));
          break;
        }
        quarantine.charge(digest(i), send * servers + random.nextInt(servers));
      }
      refused += quarantine.holds(digest(i)) ? 1 : 0;
      ticker.pass(1);
    }
    assertEquals(refused, 0);
  }
}
