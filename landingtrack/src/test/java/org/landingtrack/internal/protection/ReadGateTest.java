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
import org.landingtrack.internal.protection.ReadGate.Reading;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when reading from a server is paused and resumed, and when its caller is disconnected. */
public final class ReadGateTest {
  private static final long BOUND = 8 << 20;
  private static final long SHARE = 256 << 10;

  private HeldBytes held;
  private ReadGate gate;

  @BeforeMethod
  public void openGate() {
    held = new HeldBytes(BOUND, () -> {});
    gate = new ReadGate(held);
  }

  @Test
  public void aServerIsHeldBackUntilItsCallerHasRead() {
    assertEquals(gate.changed(SHARE - 1, 0), Reading.AS_BEFORE);
    assertEquals(gate.changed(SHARE, 0), Reading.HOLD_BACK);
    assertEquals(gate.changed(2 * SHARE, 10), Reading.AS_BEFORE);
    assertEquals(gate.changed(SHARE / 2, 20), Reading.AS_BEFORE);
    assertEquals(gate.changed(SHARE / 4, 30), Reading.RESUME);
    assertFalse(gate.isClosed());
  }

  /** Without these reads the server aborts an answer that its caller is still reading. */
  @Test
  public void aServerThatIsHeldBackIsReadNowAndThen() {
    gate.changed(SHARE, 0);
    assertEquals(gate.look(999), Reading.AS_BEFORE);
    assertEquals(gate.look(1_000), Reading.ONE_PIECE);
    assertEquals(gate.look(1_500), Reading.AS_BEFORE);
    assertEquals(gate.look(2_000), Reading.ONE_PIECE);
  }

  @Test
  public void withoutRoomCallersThatTakeNothingAreLeft() {
    gate.changed(SHARE, 0);
    assertFalse(gate.isAway(0, 60_000));
    held.open(Kind.ANSWERS).hold(BOUND / 2);
    assertEquals(gate.look(60_000), Reading.AS_BEFORE);
    assertFalse(gate.isAway(0, 1_999));
    assertFalse(gate.isAway(1_500, 3_499));
    assertTrue(gate.isAway(1_500, 3_500));
  }
}
