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
package org.landingtrack.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.landingtrack.internal.loads.BackoffReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how one VM records and exchanges the backoffs that servers ask any VM for. */
public final class SharedBackoffsTest {
  private static final long SERVER = 42;
  private static final long LATER_MS = 1_000;

  private ManualEventLoop loop = new ManualEventLoop();
  private SharedBackoffs rests = new SharedBackoffs(loop, 7);

  @BeforeMethod
  public void setUp() {
    loop = new ManualEventLoop();
    rests = new SharedBackoffs(loop, 7);
  }

  @Test
  public void aBackoffReportedByAnotherVmLastsUntilThatVmHadTimeToProbe() {
    rests.receiveReports(List.of(new BackoffReport(SERVER, 2_000, 100)));
    loop.advance(2_200);
    assertTrue(rests.isRequestedElsewhere(SERVER));
    loop.advance(LATER_MS);
    assertFalse(rests.isRequestedElsewhere(SERVER));
  }

  @Test
  public void aPauseOfThisVmIsReportedForAWhileAndAppliesByItself() {
    rests.requested(SERVER, 3_000);
    loop.advance(100);
    assertEquals(rests.reportsToSend(), List.of(new BackoffReport(SERVER, 2_900, 100)));
    assertFalse(rests.isRequestedElsewhere(SERVER));
    assertEquals(rests.count(), 1);
    loop.advance(SharedBackoffs.REPORT_MS);
    assertEquals(rests.reportsToSend(), List.of());
    loop.advance(3_000);
    assertEquals(rests.count(), 0);
  }

  /** Reports of other VMs are forwarded, for VMs that are connected only through a hub. */
  @Test
  public void receivedPausesAreForwardedWithTheirAge() {
    rests.receiveReports(List.of(new BackoffReport(SERVER, 2_000, 100)));
    loop.advance(200);
    assertEquals(rests.reportsToSend(), List.of(new BackoffReport(SERVER, 1_800, 300)));
  }

  @Test
  public void theLongerPauseWins() {
    rests.receiveReports(List.of(new BackoffReport(SERVER, 5_000, 0)));
    rests.receiveReports(List.of(new BackoffReport(SERVER, 500, 0)));
    assertEquals(rests.reportsToSend(), List.of(new BackoffReport(SERVER, 5_000, 0)));
  }
}
