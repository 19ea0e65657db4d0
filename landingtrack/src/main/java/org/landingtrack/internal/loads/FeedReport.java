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
 * Progress of a hub that reads one kind of objects from the Object API itself.
 *
 * @param prefix the key prefix of the kind
 * @param revision the revision up to which the hub has all changes
 * @param changedRevision the revision of the hub's answer that contained the kind's last change
 * @param ageMs upper bound of the time since the Object API confirmed that there are no further
 *     changes
 */
public record FeedReport(String prefix, long revision, long changedRevision, long ageMs) {}
