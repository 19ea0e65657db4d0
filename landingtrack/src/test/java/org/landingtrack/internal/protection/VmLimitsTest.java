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

import org.testng.annotations.Test;

/** Tests the limits that are derived from a VM's resources. */
public final class VmLimitsTest {
  private static final long MB = 1 << 20;

  @Test
  public void tightestResourceLimitsHeldBytes() {
    assertEquals(new VmLimits(36, 0, 0, 0).maxHeldBytes(100 * MB), 25 * MB);
    assertEquals(new VmLimits(36, 80, 0, 0).maxHeldBytes(100 * MB), 10 * MB);
    assertEquals(new VmLimits(36, 330, 0, 7).maxHeldBytes(100 * MB), 8_750_000);
    assertEquals(new VmLimits(36, 1, 0, 0.1).maxHeldBytes(MB), 4 * MB);
  }

  @Test
  public void connectionsLeaveDescriptorsForFiles() {
    assertEquals(new VmLimits(36, 0, 4_100, 0).maxConnections(), 3_510);
    assertEquals(new VmLimits(36, 0, 0, 0).maxConnections(), Integer.MAX_VALUE);
    assertEquals(new VmLimits(36, 0, 10, 0).maxConnections(), 1);
  }
}
