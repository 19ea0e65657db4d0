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
/**
 * Quarantine of requests and prompt parts that crash backend servers: which of them were in flight
 * when servers crashed, and which are sent to no further server. The package does no I/O of its
 * own; callers pass in what sends, receives and stores.
 */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.quarantine;
