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
package org.landingtrack.internal.retry;

/**
 * The retry budget of a service: what all VMs together may send beyond the first attempt of each
 * request.
 *
 * @param retriesPerRequest the retries allowed for each request in the window
 * @param extra the retries allowed in addition, whatever the number of requests
 * @param windowMs the length of the sliding window; the budget holds for any span of this length
 */
public record RetryBudgetPolicy(double retriesPerRequest, double extra, long windowMs) {}
