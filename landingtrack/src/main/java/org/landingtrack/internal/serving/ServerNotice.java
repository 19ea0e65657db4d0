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

import java.util.OptionalDouble;

/**
 * Status that a backend server reports of itself in an answer.
 *
 * @param limitPerSecond requests per second that it accepts from all VMs together, if reported
 * @param liftsLimit true if the server ran the request and reports no limit: it has none any more;
 *     the same holds for a bound of rejections that it does not report
 * @param leaving true if it is about to end
 * @param backoffMs the backoff that it asks of this VM, in milliseconds; 0 if it asks for none
 * @param maxRejectionsPerSecond rejections that it bears before it crashes, if reported
 * @param unreadable true if a field of the notice cannot be parsed; that field is ignored
 */
public record ServerNotice(
    OptionalDouble limitPerSecond,
    boolean liftsLimit,
    boolean leaving,
    long backoffMs,
    OptionalDouble maxRejectionsPerSecond,
    boolean unreadable) {
  /** Creates a notice without a bound of rejections, of which every field was parsed. */
  public ServerNotice(
      OptionalDouble limitPerSecond, boolean liftsLimit, boolean leaving, long backoffMs) {
    this(limitPerSecond, liftsLimit, leaving, backoffMs, OptionalDouble.empty(), false);
  }
}
