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
package org.landingtrack.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Short runs of {@link FaultInjectionRun}; the command {@code bench faults} runs longer ones. */
public final class FaultInjectionRunTest {
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{41L}, {42L}};
  }

  @Test(dataProvider = "seeds")
  public void nothingIsLostDoubledOrCrossed(long seed) throws Exception {
    FaultInjectionRun.Counts counts = FaultInjectionRun.run(seed, 6, 10);
    assertTrue(counts.whole() > 0, counts.toString());
    assertEquals(counts.lost(), 0, counts.toString());
    assertEquals(counts.doubled(), 0, counts.toString());
    assertEquals(counts.crossed(), 0, counts.toString());
    assertEquals(counts.falseNotRun(), 0, counts.toString());
  }
}
