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
package org.landingtrack.internal.loads;

/**
 * Reports the rate limit that one backend server stated in its answers.
 *
 * @param server hash of the server's incarnation
 * @param perSecond requests a second that the server accepts from all VMs together; less than 0 if
 *     the limit was lifted
 * @param agoMs age of the statement in milliseconds
 */
public record LimitReport(long server, double perSecond, long agoMs) {
  /** Value of {@link #perSecond} for a limit that was lifted. */
  public static final double LIFTED = -1;

  /** Returns true if the limit was lifted. */
  public boolean isLifted() {
    return perSecond < 0;
  }
}
