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

import java.util.Map;
import org.landingtrack.internal.loads.StoreNews.Change;

/**
 * Takes what engines tell of the parts that they keep. An engine that is asked all the time and
 * does not answer is silent: it gets no requests while others answer. Runs on the event loop.
 */
public final class EngineNews {
  /** One call may fail by its connection alone. */
  private static final int FAILURES_TO_SUSPECT = 2;

  private final EventLoop loop;
  private final ServerBook book;
  private final DecisionLog log;

  public EngineNews(EventLoop loop, ServerBook book, DecisionLog log) {
    this.loop = loop;
    this.book = book;
    this.log = log;
  }

  /** Takes all that an engine keeps, each part as SCOPE/PART with its tokens. */
  public void listed(String id, Map<String, Integer> held) {
    Backend backend = book.find(id);
    if (backend != null) {
      backend.kept().listed(held, loop.millis());
      backend.spoke();
    }
  }

  /** Takes what changed; a part that went tells how much of it is left. */
  public void changed(String id, Iterable<Change> changes) {
    Backend backend = book.find(id);
    if (backend == null) {
      return;
    }
    long now = loop.millis();
    backend.kept().confirmed(now);
    for (Change change : changes) {
      backend.kept().changed(change.key(), change.tokens(), now);
    }
    backend.spoke();
  }

  /** Takes that a call to an engine failed. */
  public void failed(String id, int timesInARow, String why) {
    Backend backend = book.find(id);
    if (backend != null && timesInARow == FAILURES_TO_SUSPECT) {
      backend.fellSilent();
      log.ejected(id, "silent: " + why);
    }
  }
}
