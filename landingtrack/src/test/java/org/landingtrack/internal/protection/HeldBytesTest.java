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

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.landingtrack.internal.protection.HeldBytes.Holder;
import org.landingtrack.internal.protection.HeldBytes.Kind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the account of held bytes: its totals, its watermarks, and which holders are ended. */
public final class HeldBytesTest {
  private static final long BOUND = 1_000_000;
  private static final int STEPS = 5_000;

  private int fullCalls;
  private HeldBytes held;

  @BeforeMethod
  public void setUp() {
    fullCalls = 0;
    held = new HeldBytes(BOUND, () -> fullCalls++);
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
  }

  /**
   * After any operation the total is the sum of the holders and not negative; at the end it is 0.
   */
  @Test(dataProvider = "seeds")
  public void totalIsSumOfHolders(long seed) {
    Random random = new Random(seed);
    HeldBytes account = new HeldBytes(BOUND, () -> {});
    List<Holder> holders = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Holder holder = account.open(Kind.values()[random.nextInt(Kind.values().length)]);
      if (random.nextBoolean()) {
        holder.setShedAction(holder::releaseAll);
      }
      holders.add(holder);
    }
    for (int step = 0; step < STEPS; step++) {
      Holder holder = holders.get(random.nextInt(holders.size()));
      switch (random.nextInt(4)) {
        case 0 -> holder.releaseAll();
        case 1 -> holder.release(random.nextInt(60_000));
        case 2 -> holder.hold(random.nextInt(60_000));
        default -> account.shed();
      }
      long sum = holders.stream().mapToLong(Holder::bytes).sum();
      assertEquals(account.total(), sum, "step " + step);
      assertTrue(holder.bytes() >= 0 && account.share() > 0, "step " + step);
      long kinds = 0;
      for (Kind kind : Kind.values()) {
        kinds += account.total(kind);
      }
      assertEquals(kinds, sum, "step " + step);
    }
    holders.forEach(Holder::releaseAll);
    assertEquals(account.total(), 0);
    assertFalse(account.isShort() || account.isFull());
  }

  @Test
  public void shortageEndsOnlyBelowLowWatermark() {
    Holder holder = held.open(Kind.BODIES);
    holder.hold(749_999);
    assertFalse(held.isShort());
    holder.hold(1);
    assertTrue(held.isShort());
    holder.release(249_999);
    assertTrue(held.isShort());
    holder.release(2);
    assertFalse(held.isShort());
    assertEquals(fullCalls, 0);
  }

  /** Guards against answers without end that take the memory of everybody. */
  @Test
  public void answersOfUnknownLengthAreEndedBeforeRequestsAreRefused() {
    HeldBytes account = new HeldBytes(8L * BOUND, () -> fullCalls++);
    List<String> endedNames = new ArrayList<>();
    for (int size : new int[] {1_000, 300_000, 3_000_000, 900_000}) {
      Holder holder = account.open(Kind.UNKNOWN_LENGTH);
      holder.setShedAction(
          () -> {
            endedNames.add("" + size);
            holder.releaseAll();
          });
      holder.hold(size);
    }
    Holder gathered = account.open(Kind.GATHERED);
    gathered.setShedAction(() -> endedNames.add("gathered"));
    gathered.hold(1_700_000);
    assertEquals(account.shed(), 0);
    gathered.hold(100_000);
    assertEquals(fullCalls, 1);
    assertEquals(account.shed(), 1);
    assertEquals(endedNames, List.of("3000000"));
    assertFalse(account.isShort());
  }

  @Test
  public void largestUnreadAnswersAreEndedFirst() {
    List<String> endedNames = new ArrayList<>();
    addHolder(Kind.BODIES, 290_000, "body", endedNames);
    addHolder(Kind.ANSWERS, 190_000, "small", endedNames);
    addHolder(Kind.ANSWERS, 510_000, "large", endedNames);
    held.open(Kind.GATHERED).hold(10_000);
    assertEquals(fullCalls, 1);
    assertEquals(held.shed(), 1);
    assertEquals(endedNames, List.of("large"));
    assertFalse(held.isShort());
    assertEquals(held.shed(), 0);
  }

  /** Ending a request that is at a server would leave its outcome in doubt. */
  @Test
  public void holdersWithoutShedActionStay() {
    held.open(Kind.BODIES).hold(BOUND);
    List<String> endedNames = new ArrayList<>();
    addHolder(Kind.BODIES, 10, "body that is read", endedNames);
    assertEquals(held.shed(), 1);
    assertEquals(endedNames, List.of("body that is read"));
    assertTrue(held.isFull());
  }

  /** With fixed shares, enough callers that do not read would exceed any bound. */
  @Test
  public void sharesShrinkWithSlowCallers() {
    for (int i = 0; i < 10_000; i++) {
      Holder holder = held.open(Kind.ANSWERS);
      holder.hold(Math.min(held.share(), Math.max(0, BOUND / 2 - held.total())));
    }
    assertFalse(held.isShort());
    assertTrue(held.share() < 20_000);
  }

  private void addHolder(Kind kind, long bytes, String name, List<String> endedNames) {
    Holder holder = held.open(kind);
    holder.hold(bytes);
    holder.setShedAction(
        () -> {
          endedNames.add(name);
          holder.releaseAll();
        });
  }
}
