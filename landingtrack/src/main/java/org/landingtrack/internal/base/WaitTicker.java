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

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock that never runs ahead of real time, for waits until another process must have
 * stopped. Setting the time of day does not move it, and it stands still while the VM is suspended,
 * so that such a wait may only become too long. A {@link Ticker} counts both, which is safe for the
 * age of what is known and for the end of an own lease. Readings of the two must not be compared.
 */
@FunctionalInterface
public interface WaitTicker {
  /** The clock of this process. */
  WaitTicker SYSTEM = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

  /** Returns the milliseconds since an arbitrary fixed point. */
  long waitMillis();
}
