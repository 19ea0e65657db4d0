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
 * What a hub that follows the Object API itself says of one kind of objects there.
 *
 * @param prefix the kind
 * @param revision the hub has all changes up to this one
 * @param changedRevision the hub's answer with the last change of the kind had this revision
 * @param ageMs how long ago the Object API can have said at the earliest that there are no others
 */
public record FeedNews(String prefix, long revision, long changedRevision, long ageMs) {}
