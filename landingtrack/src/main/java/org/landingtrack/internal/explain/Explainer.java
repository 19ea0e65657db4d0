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
package org.landingtrack.internal.explain;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import org.landingtrack.internal.peer.Messages.Explanation;

/**
 * Keeps explanations in bounded memory: the newest stay, and those not handed on yet wait in a ring
 * that drops what does not fit. Thread-safe.
 */
public final class Explainer {
  private static final int PENDING = 4_096;

  private final Cache<String, List<String>> known;
  private final ArrayBlockingQueue<Explanation> pending = new ArrayBlockingQueue<>(PENDING);

  public Explainer(int maxKept) {
    this.known = Caffeine.newBuilder().maximumSize(maxKept).build();
  }

  /** Keeps an explanation. */
  public void note(String requestId, List<String> sentences) {
    known.put(requestId, sentences);
    var unused = pending.offer(new Explanation(requestId, sentences));
  }

  /** Keeps an explanation that another process hands on. */
  public void keep(Explanation explanation) {
    known.put(explanation.requestId(), List.copyOf(explanation.sentences()));
  }

  /** Takes what has not been handed on yet. */
  public List<Explanation> drain(int max) {
    List<Explanation> batch = new ArrayList<>();
    pending.drainTo(batch, max);
    return batch;
  }

  /** Returns the explanation of a request; empty if nothing is known any more. */
  public List<String> explain(String requestId) {
    List<String> sentences = known.getIfPresent(requestId);
    return sentences == null ? List.of() : sentences;
  }
}
