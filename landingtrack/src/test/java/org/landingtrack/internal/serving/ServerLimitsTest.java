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
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.landingtrack.internal.loads.LimitReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how one VM records and exchanges the rate limits that servers set. */
public final class ServerLimitsTest {
  private static final long SERVER = 42;

  private ManualEventLoop loop = new ManualEventLoop();
  private ServerLimits limits = new ServerLimits(loop);

  @BeforeMethod
  public void setUp() {
    loop = new ManualEventLoop();
    limits = new ServerLimits(loop);
  }

  /** Responses may arrive out of order: one to a request sent before the limit does not end it. */
  @Test
  public void anAnswerThatMayBeEarlierEndsNoLimit() {
    long setMs = loop.millis();
    assertTrue(limits.reported(SERVER, 1.3));
    loop.advance(200);
    assertFalse(limits.reportedNone(SERVER, setMs - 100));
    assertFalse(limits.reportedNone(SERVER, setMs));
    assertEquals(limits.find(SERVER).reported(), 1.3);
    assertTrue(limits.reportedNone(SERVER, setMs + 1));
    assertNull(limits.find(SERVER));
    assertEquals(limits.count(), 0);
  }

  @Test
  public void aLimitOfZeroStillAllowsProbes() {
    limits.reported(SERVER, 0);
    assertEquals(limits.find(SERVER).requestsPerWindow(), 1);
    assertEquals(limits.find(SERVER).windowMs(), 10_000);
  }

  /** The latest report of a server wins, whatever the order and repetition of reports. */
  @Test
  public void theLatestStatementWins() {
    limits.receiveReports(List.of(new LimitReport(SERVER, LimitReport.LIFTED, 100)));
    assertNull(limits.find(SERVER), "the end of an unknown limit creates no limit");
    limits.receiveReports(List.of(new LimitReport(SERVER, 2, 300)));
    assertEquals(limits.find(SERVER).reported(), 2.0);
    limits.receiveReports(List.of(new LimitReport(SERVER, LimitReport.LIFTED, 400)));
    assertNotNull(limits.find(SERVER));
    limits.receiveReports(List.of(new LimitReport(SERVER, LimitReport.LIFTED, 100)));
    limits.receiveReports(List.of(new LimitReport(SERVER, 2, 300)));
    assertNull(limits.find(SERVER));
  }

  @Test
  public void oldLimitsAreNotReportedAndExpire() {
    limits.reported(SERVER, 2);
    loop.advance(100);
    assertEquals(limits.reportsToSend(), List.of(new LimitReport(SERVER, 2, 100)));
    loop.advance(ServerLimits.REPORT_MS);
    assertEquals(limits.reportsToSend(), List.of());
    assertNotNull(limits.find(SERVER));
    loop.advance(ServerLimits.FORGET_MS);
    limits.reportsToSend();
    assertNull(limits.find(SERVER));
  }

  @Test
  public void reportsContainABoundedNumberOfTheLatestLimits() {
    for (int i = 0; i < ServerLimits.MAX_REPORTED + 10; i++) {
      limits.reported(i, 2);
      loop.advance(1);
    }
    List<LimitReport> sent = limits.reportsToSend();
    assertEquals(sent.size(), ServerLimits.MAX_REPORTED);
    assertEquals(sent.get(0).server(), ServerLimits.MAX_REPORTED + 9);
  }

  @Test
  public void theNumberOfLimitsIsBounded() {
    for (int i = 0; i < ServerLimits.MAX_LIMITS; i++) {
      assertTrue(limits.reported(i, 2));
    }
    assertFalse(limits.reported(-1, 2));
  }
}
