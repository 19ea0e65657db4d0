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
 * Stores explanations of requests in a cache of bounded size. Explanations of this process also
 * wait in a bounded queue until they are sent to another process; if the queue is full, an
 * explanation is stored here but not sent. Thread-safe.
 */
public final class ExplanationStore {
  private static final int MAX_PENDING = 4_096;

  private final Cache<String, List<String>> explanations;
  private final ArrayBlockingQueue<Explanation> unsent = new ArrayBlockingQueue<>(MAX_PENDING);

  /** Creates a store of {@code maxSize} explanations at most. */
  public ExplanationStore(int maxSize) {
    this.explanations = Caffeine.newBuilder().maximumSize(maxSize).build();
  }

  /** Stores an explanation of this process and queues it for sending. */
  public void add(String requestId, List<String> sentences) {
    explanations.put(requestId, sentences);
    var unused = unsent.offer(new Explanation(requestId, sentences));
  }

  /** Stores an explanation that another process sent. */
  public void addReceived(Explanation explanation) {
    explanations.put(explanation.requestId(), List.copyOf(explanation.sentences()));
  }

  /** Removes explanations from the queue and returns them, oldest first, {@code max} at most. */
  public List<Explanation> drainUnsent(int max) {
    List<Explanation> batch = new ArrayList<>();
    unsent.drainTo(batch, max);
    return batch;
  }

  /** Returns the sentences of a request's explanation; empty if it is not stored or was evicted. */
  public List<String> find(String requestId) {
    List<String> sentences = explanations.getIfPresent(requestId);
    return sentences == null ? List.of() : sentences;
  }
}
