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

/** Tests how crashes are counted for requests, and how VMs merge each other's reports. */
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
    for (long incarnation : new long[] {1, 1, 2, 2, 2, 3, 4}) {
      quarantine.charge(CULPRIT, incarnation);
    }
    List<Change> kinds = changes.stream().map(Suspicion::change).toList();
    assertEquals(
        kinds, List.of(Change.CHARGED, Change.CHARGED, Change.QUARANTINED, Change.CHARGED));
    assertTrue(quarantine.holds(CULPRIT));
    assertFalse(quarantine.holds(digest(1)));
  }

  /** A digest is computed only if some suspect has a body of the same length. */
  @Test
  public void requestsOfOtherLengthsAreToldApartWithoutADigest() {
    assertFalse(quarantine.mayKnow(3));
    quarantine.charge(digest(3), 1);
    quarantine.charge(digest(10), 1);
    assertTrue(quarantine.mayKnow(3));
    assertFalse(quarantine.mayKnow(4));
    ticker.pass(Quarantine.KEPT_MS + 1);
    assertEquals(quarantine.ends(digest(3)), 0);
    assertTrue(quarantine.mayKnow(3), "another suspect of that length is left");
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
    assertEquals(other.ends(CULPRIT), 0, "a cleared crash that is reported again does not count");
    tell(other, quarantine);
    quarantine.charge(CULPRIT, 3);
    assertEquals(quarantine.ends(CULPRIT), 1);
  }

  /** VMs that receive the same reports end in the same state, in any order and with repetitions. */
  @Test
  public void orderAndRepetitionOfNewsDoNotMatter() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      List<SuspectNews> reports = new ArrayList<>();
      Quarantine observer = new Quarantine(ticker);
      for (int step = 0; step < 9; step++) {
        if (random.nextInt(4) == 0) {
          observer.endedWell(CULPRIT);
        } else {
          observer.charge(CULPRIT, random.nextInt(6));
        }
        observer.nextRound();
        reports.addAll(observer.news());
      }
      List<SuspectNews> shuffled = new ArrayList<>(reports);
      shuffled.addAll(reports);
      Collections.shuffle(shuffled, random);
      Quarantine late = new Quarantine(ticker);
      late.heard(shuffled);
      assertEquals(late.ends(CULPRIT), observer.ends(CULPRIT), "seed " + seed);
    }
  }

  /**
   * Half of the datagrams are lost. A VM that was partitioned or has just started receives the
   * suspects through reminders.
   */
  @Test
  public void allVmsKnowWithinASecondAndAHalfAlsoWhenDatagramsAreLost() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      Quarantine observer = new Quarantine(ticker);
      Quarantine other = new Quarantine(ticker);
      Quarantine started = new Quarantine(ticker);
      for (int i = 0; i < 100; i++) {
        observer.charge(digest(1 + i), 1);
      }
      for (int incarnation = 1; incarnation <= 3; incarnation++) {
        observer.charge(CULPRIT, incarnation);
      }
      for (int round = 0; round < 15; round++) {
        observer.nextRound();
        assertTrue(observer.news().size() <= Quarantine.MAX_TOLD);
        if (random.nextBoolean()) {
          other.heard(observer.news());
        }
      }
      assertTrue(other.holds(CULPRIT), "seed " + seed);
      for (int round = 0; round < 40; round++) {
        tell(observer, started);
      }
      assertTrue(started.holds(CULPRIT), "seed " + seed);
    }
  }

  /**
   * New suspects are added in each round, and still a VM that has just started receives the
   * quarantined request.
   */
  @Test
  public void whatIsQuarantinedIsToldAgainAlsoWhileThereIsMuchNews() {
    for (int incarnation = 1; incarnation <= 3; incarnation++) {
      quarantine.charge(CULPRIT, incarnation);
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
    for (int incarnation = 1; incarnation <= 3; incarnation++) {
      quarantine.charge(CULPRIT, incarnation);
      ticker.pass(Quarantine.KEPT_MS / 2);
    }
    assertTrue(quarantine.holds(CULPRIT));
    assertEquals(quarantine.leftMs(CULPRIT), Quarantine.KEPT_MS / 2);
    Quarantine other = new Quarantine(ticker);
    tell(quarantine, other);
    ticker.pass(Quarantine.KEPT_MS / 2 + 1);
    assertFalse(quarantine.holds(CULPRIT));
    assertFalse(other.holds(CULPRIT), "a reported crash keeps its age");
  }

  /** Expired suspects are removed and no longer reported, even if nobody looks them up. */
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

  /** The number of suspects is limited, and many new ones don't evict a quarantined request. */
  @Test
  public void manySuspectsDoNotPushOutTheQuarantined() {
    for (int incarnation = 1; incarnation <= 3; incarnation++) {
      quarantine.charge(CULPRIT, incarnation);
    }
    for (int i = 1; i <= 3 * Quarantine.MAX_SUSPECTS; i++) {
      quarantine.charge(digest(i), i);
    }
    assertTrue(quarantine.holds(CULPRIT));
    assertEquals(quarantine.ends(digest(1)), 0);
    assertEquals(quarantine.ends(digest(3 * Quarantine.MAX_SUSPECTS)), 1);
  }

  /**
   * A third of the servers crash within 34 s for other reasons. Requests take half a second and are
   * sent up to four times, counting retries of the VM and of the caller. All of them are looked up
   * by digest, as if all bodies had the same length.
   */
  @Test
  public void noneOf200000InnocentRequestsIsQuarantinedOnADayOfCrashes() {
    Random random = new Random(1);
    int servers = 13;
    double crashProbability = (1.0 / 3) * (0.5 / 34);
    int quarantined = 0;
    for (int i = 1; i <= 200_000; i++) {
      for (int attempt = 0; attempt < 4; attempt++) {
        if (random.nextDouble() >= crashProbability) {
          quarantine.endedWell(digest(i));
          break;
        }
        quarantine.charge(digest(i), attempt * servers + random.nextInt(servers));
      }
      quarantined += quarantine.holds(digest(i)) ? 1 : 0;
      ticker.pass(1);
    }
    assertEquals(quarantined, 0);
  }
}
