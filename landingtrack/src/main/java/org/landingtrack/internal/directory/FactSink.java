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
package org.landingtrack.internal.directory;

import java.util.List;
import org.landingtrack.internal.peer.Messages.Fact;

/**
 * Receives facts, that is, which backend server holds which block, for the controllers that own the
 * groups of the blocks.
 */
public interface FactSink {
  /** Passes facts on to the owners of their groups. */
  void publish(List<Fact> facts);

  /** Invalidates all facts about a server; its current facts follow. */
  void reset(String server);
}
