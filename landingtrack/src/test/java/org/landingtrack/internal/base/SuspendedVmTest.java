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
package org.landingtrack.internal.base;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.landingtrack.internal.lease.Lease;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.TimestampedObjectApi;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Suspends a VM for seconds: the steady clock stops, the time of day goes on. Guards against ages
 * that leave out the suspension. With the steady clock alone the VM still held its lease when it
 * resumed, and took weights that were published during the suspension for published at that moment.
 */
public final class SuspendedVmTest {
  private static final long SUSPENDED_MS = 7_000;
  private static final String KIND = "weights";

  private long steadyMs = 50_000;
  private long timeOfDayMs = 1_790_000_000_000L;
  private Ticker ticker = Ticker.SYSTEM;

  @BeforeMethod
  public void setUp() {
    ticker = new SuspensionAwareTicker(() -> steadyMs * 1_000_000, () -> timeOfDayMs);
  }

  private void advance(long ms) {
    steadyMs += ms;
    timeOfDayMs += ms;
  }

  private void suspend(long ms) {
    timeOfDayMs += ms;
  }

  @Test
  public void includesTimeOfSuspension() {
    long startMs = ticker.millis();
    advance(300);
    suspend(SUSPENDED_MS);
    assertEquals(ticker.millis(), startMs + 300 + SUSPENDED_MS);
    advance(500);
    suspend(SUSPENDED_MS);
    assertEquals(ticker.millis(), startMs + 800 + 2 * SUSPENDED_MS);
  }

  /** Setting the time of day back and forward again can make ages only larger, which is safe. */
  @Test
  public void settingTimeOfDayBackDoesNotReduceTime() {
    long startMs = ticker.millis();
    timeOfDayMs -= 2_400;
    assertEquals(ticker.millis(), startMs);
    advance(1_000);
    timeOfDayMs += 2_400;
    assertEquals(ticker.millis(), startMs + 1_000 + 2_400);
  }

  /** Corrections of the time of day by half a millisecond per second are not a suspension. */
  @Test
  public void smallClockCorrectionsDoNotAddUp() {
    long startMs = ticker.millis();
    for (int second = 1; second <= 3_600; second++) {
      advance(1_000);
      timeOfDayMs += second % 2;
      ticker.millis();
    }
    assertEquals(ticker.millis(), startMs + 3_600_000);
  }

  @Test
  public void clockIsMonotonic() {
    Random random = new Random(3);
    long lastMs = ticker.millis();
    for (int step = 0; step < 20_000; step++) {
      advance(random.nextInt(200));
      if (random.nextInt(50) == 0) {
        timeOfDayMs += random.nextInt(6_000) - 3_000;
      }
      long nowMs = ticker.millis();
      assertTrue(nowMs >= lastMs, "step " + step);
      lastMs = nowMs;
    }
  }

  @Test
  public void leaseExpiresDuringSuspension() {
    Lease lease = new Lease(new FakeObjectApi(), ticker, ticker::millis, "weights", "vm-1", 1_500);
    lease.acquireOrRenew();
    assertTrue(lease.token().isPresent());
    suspend(SUSPENDED_MS);
    assertFalse(lease.token().isPresent());
  }

  /**
   * A change that waits in the socket buffer when the VM resumes is dated before the suspension.
   */
  @Test
  public void changeDuringSuspensionIsDatedBeforeIt() {
    FakeObjectApi store = new FakeObjectApi();
    TimestampedObjectApi dated = new TimestampedObjectApi(store, ticker, new StallDetector(ticker));
    dated.list(CallClass.CONFIGURATION, KIND, "", 10);
    advance(3_000);
    store.write(CallClass.CONFIGURATION, KIND + "/m", "2", ObjectApi.ABSENT);
    suspend(SUSPENDED_MS);
    long revision = dated.watch(CallClass.CONFIGURATION, KIND, 0, 1_000).revision();
    long madeAfterMs = dated.earliestChangeMs(KIND, revision).orElseThrow();
    assertEquals(ticker.millis() - madeAfterMs, 3_000 + SUSPENDED_MS);
  }

  /** A suspension is a stall: data read after it may have waited in the socket buffers. */
  @Test
  public void suspensionIsAStall() {
    StallDetector stallDetector = new StallDetector(ticker);
    for (int i = 0; i < 30; i++) {
      advance(100);
      stallDetector.tick();
    }
    assertEquals(stallDetector.runningForMs(), 3_000);
    suspend(SUSPENDED_MS);
    assertEquals(stallDetector.runningForMs(), 0);
    stallDetector.tick();
    advance(100);
    assertEquals(stallDetector.runningForMs(), 100);
  }
}
