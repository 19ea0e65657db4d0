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
package org.landingtrack.internal.protection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.landingtrack.internal.protection.HeldBytes.Kind;
import org.landingtrack.internal.protection.ReadThrottle.ReadAction;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when reading from a server is paused and resumed, and when its caller is disconnected. */
public final class ReadThrottleTest {
  private static final long BOUND = 8 << 20;
  private static final long SHARE = 256 << 10;

  private HeldBytes held;
  private ReadThrottle throttle;

  @BeforeMethod
  public void setUp() {
    held = new HeldBytes(BOUND, () -> {});
    throttle = new ReadThrottle(held);
  }

  @Test
  public void readingPausesUntilCallerHasRead() {
    assertEquals(throttle.unreadBytesChanged(SHARE - 1, 0), ReadAction.UNCHANGED);
    assertEquals(throttle.unreadBytesChanged(SHARE, 0), ReadAction.PAUSE);
    assertEquals(throttle.unreadBytesChanged(2 * SHARE, 10), ReadAction.UNCHANGED);
    assertEquals(throttle.unreadBytesChanged(SHARE / 2, 20), ReadAction.UNCHANGED);
    assertEquals(throttle.unreadBytesChanged(SHARE / 4, 30), ReadAction.RESUME);
    assertFalse(throttle.isPaused());
  }

  /** Without these reads the server aborts an answer that its caller is still reading. */
  @Test
  public void pausedServerIsReadPeriodically() {
    throttle.unreadBytesChanged(SHARE, 0);
    assertEquals(throttle.poll(999), ReadAction.UNCHANGED);
    assertEquals(throttle.poll(1_000), ReadAction.READ_ONCE);
    assertEquals(throttle.poll(1_500), ReadAction.UNCHANGED);
    assertEquals(throttle.poll(2_000), ReadAction.READ_ONCE);
  }

  @Test
  public void stalledCallersAreDisconnectedWhenMemoryIsShort() {
    throttle.unreadBytesChanged(SHARE, 0);
    assertFalse(throttle.isCallerStalled(0, 60_000));
    held.open(Kind.ANSWERS).hold(BOUND / 2);
    assertEquals(throttle.poll(60_000), ReadAction.UNCHANGED);
    assertFalse(throttle.isCallerStalled(0, 1_999));
    assertFalse(throttle.isCallerStalled(1_500, 3_499));
    assertTrue(throttle.isCallerStalled(1_500, 3_500));
  }
}
