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
package org.landingtrack.internal.routing;

/**
 * The load that a model engine reported, and when this gateway received the report.
 *
 * @param queuedTokens prompt tokens that wait for their prefill
 * @param running requests in the engine's batch
 * @param receivedMs when it was received, in milliseconds of the monotonic clock
 */
public record LoadReport(long queuedTokens, int running, long receivedMs) {
  /** The report of an engine that has not reported yet; never fresh. */
  public static final LoadReport NONE = new LoadReport(0, 0, Long.MIN_VALUE / 2);
}
