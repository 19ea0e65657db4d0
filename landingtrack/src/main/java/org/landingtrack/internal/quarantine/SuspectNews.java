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
package org.landingtrack.internal.quarantine;

import java.util.List;

/**
 * What a VM knows of a request under which servers ended. Two of them of one request join to the
 * union of both, so that neither their order nor how often one is heard matters.
 *
 * @param ended hashes of the servers' starts that ended under it
 * @param cleared those of them that it is not blamed for, since it ended well elsewhere later
 * @param agoMs how long ago the last of them ended
 * @param saved true if the platform's store has it
 */
public record SuspectNews(
    RequestDigest digest, List<Long> ended, List<Long> cleared, long agoMs, boolean saved) {
  public SuspectNews {
    ended = List.copyOf(ended);
    cleared = List.copyOf(cleared);
  }
}
