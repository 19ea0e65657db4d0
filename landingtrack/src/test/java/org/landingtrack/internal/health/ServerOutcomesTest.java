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
package org.landingtrack.internal.health;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.landingtrack.internal.health.Evidence.EjectionCounts;
import org.landingtrack.internal.loads.Tally;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which outcomes one VM counts, and which of them it reports to all VMs. */
public final class ServerOutcomesTest {
  private static final long SERVICE = 1;
  private static final int VMS = 10;

  private ServerOutcomes outcomes = new ServerOutcomes();
  private long now = 1_000_000;

  @BeforeMethod
  public void setUp() {
    outcomes = new ServerOutcomes();
  }

  private Object send(long server) {
    Object attempt = new Object();
    outcomes.onSend(attempt, new ExpectedWork(SERVICE, server, "kind", 1, 300), now);
    return attempt;
  }

  private void answer(long server, int times) {
    for (int i = 0; i < times; i++) {
      Object attempt = send(server);
      now += 10;
      outcomes.onAnswer(attempt, now);
      outcomes.onClosed(attempt);
    }
  }

  private void fail(long server, int times) {
    for (int i = 0; i < times; i++) {
      Object attempt = send(server);
      outcomes.onFailure(attempt, now);
      outcomes.onClosed(attempt);
    }
  }

  private Outcomes reported(long server, int vms) {
    for (Tally tally : outcomes.tallies(vms, of -> EjectionCounts.NONE, List.of(), now)) {
      if (tally.key() == server) {
        return Evidence.of(tally).window();
      }
    }
    return Outcomes.NONE;
  }

  @Test
  public void reportedBadOutcomesAreLimitedInProportion() {
    answer(10, 20);
    answer(11, 10);
    fail(11, 10);
    assertEquals(reported(11, VMS), new Outcomes(4, 2, 0));
    assertEquals(reported(11, 2), new Outcomes(6, 3, 0));
    assertEquals(reported(11, 1), new Outcomes(20, 10, 0));
    assertEquals(reported(10, VMS), new Outcomes(20, 0, 0));
    assertEquals(reported(SERVICE, VMS), new Outcomes(24, 2, 0));
  }

  @Test
  public void aWaitingAttemptCountsOnceBeforeItEnds() {
    answer(10, 10);
    outcomes.checkPending(now);
    Object attempt = send(11);
    for (int i = 0; i < 5; i++) {
      now += 100;
      outcomes.checkPending(now);
    }
    assertEquals(reported(11, VMS), new Outcomes(1, 1, 1));
    outcomes.onAnswer(attempt, now);
    assertEquals(reported(11, VMS), new Outcomes(1, 1, 1));
  }

  /**
   * While the VM was suspended, the requests in flight may have been answered, and the VM has not
   * read the answers yet. The times of these requests say nothing about the servers.
   */
  @Test
  public void attemptsDuringAPauseOfTheVmAreNotLate() {
    answer(10, 10);
    outcomes.checkPending(now);
    Object answered = send(10);
    send(11);
    now += 3_000;
    outcomes.checkPending(now);
    outcomes.onAnswer(answered, now);
    assertEquals(reported(10, VMS), new Outcomes(1, 0, 0));
    assertEquals(reported(11, VMS), Outcomes.NONE);
  }

  @Test
  public void aVmWithFaultsAtManyServersReportsNothing() {
    for (int server = 10; server < 20; server++) {
      answer(server, 1);
    }
    fail(10, 1);
    fail(11, 1);
    fail(12, 1);
    assertEquals(reported(10, VMS), new Outcomes(2, 1, 0));
    fail(13, 1);
    assertEquals(reported(10, VMS), Outcomes.NONE);
  }
}
