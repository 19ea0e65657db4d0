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

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Data centres that operators evacuate: no new requests are sent to the servers there, and requests
 * in flight there continue. Costs one lookup for each server that is considered. Used on the event
 * loop only.
 *
 * <p>If the store comes back from an older copy that lacks an evacuation, the evacuation stays in
 * force for {@link #RESTORE_GRACE_MS}, in which operators write it again. Otherwise a VM would send
 * to an evacuated data centre because the store lost the change.
 */
public final class Evacuations {
  /** Time within which operators are expected to repeat changes that the store lost. */
  private static final long RESTORE_GRACE_MS = 10_000;

  private final EventLoop loop;
  private final DecisionLog log;
  private final Map<String, Evacuation> active = new HashMap<>();
  private Consumer<String> endListener = dataCentre -> {};
  private boolean isKnown = true;
  private long passedOver;

  /** An evacuation in force; a later one of the same data centre is a different object. */
  private static final class Evacuation {
    private final long sinceMs;
    private boolean isMissing;

    Evacuation(long sinceMs) {
      this.sinceMs = sinceMs;
    }
  }

  Evacuations(EventLoop loop, DecisionLog log) {
    this.loop = loop;
    this.log = log;
  }

  /** Sets the listener for data centres whose evacuation ended. */
  void onEnded(Consumer<String> listener) {
    endListener = listener;
  }

  /**
   * Declares that this VM reads the evacuations from the store; they are unknown until the first
   * list is read.
   */
  public void awaitList() {
    isKnown = false;
  }

  /** Returns true unless the evacuations have still to be read. */
  boolean isKnown() {
    return isKnown;
  }

  /**
   * Applies the full list of evacuations.
   *
   * @param storeIsOlder true if the store came from an older copy and may lack some
   */
  public void replaceAll(Collection<String> dataCentres, boolean storeIsOlder) {
    dataCentres.forEach(this::begin);
    isKnown = true;
    for (Map.Entry<String, Evacuation> entry : Map.copyOf(active).entrySet()) {
      if (dataCentres.contains(entry.getKey())) {
        continue;
      }
      if (storeIsOlder) {
        keepTemporarily(entry.getKey(), entry.getValue());
      } else if (!entry.getValue().isMissing) {
        end(entry.getKey());
      }
    }
  }

  private void keepTemporarily(String dataCentre, Evacuation evacuation) {
    evacuation.isMissing = true;
    loop.schedule(
        RESTORE_GRACE_MS,
        () -> {
          if (evacuation.isMissing && active.get(dataCentre) == evacuation) {
            end(dataCentre);
          }
        });
  }

  /** Begins an evacuation, or confirms one that is in force. */
  public void begin(String dataCentre) {
    Evacuation evacuation = active.get(dataCentre);
    if (evacuation != null) {
      evacuation.isMissing = false;
      return;
    }
    active.put(dataCentre, new Evacuation(loop.millis()));
    log.evacuationChanged(dataCentre, true, 0);
  }

  /** Ends an evacuation. */
  public void end(String dataCentre) {
    Evacuation evacuation = active.remove(dataCentre);
    if (evacuation != null) {
      log.evacuationChanged(dataCentre, false, loop.millis() - evacuation.sinceMs);
      endListener.accept(dataCentre);
    }
  }

  /**
   * Returns true if no new requests may be sent to a data centre's servers. Counts the skipped
   * server.
   */
  boolean checkEvacuated(String dataCentre) {
    boolean isEvacuated = active.containsKey(dataCentre);
    passedOver += isEvacuated ? 1 : 0;
    return isEvacuated;
  }

  /** Returns the data centres that are evacuated. */
  public Set<String> dataCentres() {
    return Set.copyOf(active.keySet());
  }

  /** Returns how often a server was skipped because of an evacuation. */
  public long passedOver() {
    return passedOver;
  }
}
