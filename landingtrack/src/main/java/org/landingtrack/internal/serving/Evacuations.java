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
 * Data centres that operators evacuate: nothing more is sent to the servers there, and what runs
 * there goes on. Costs a look-up for each server that is considered. Used on the event loop only.
 *
 * <p>An evacuation that is missing after the store came back from an older copy stands for {@link
 * #RESTORE_MS} more, in which operators write it again: without this a VM would send to an emptied
 * data centre because the store had forgotten.
 */
public final class Evacuations {
  /** What was lost with the store's latest changes is written again within this time. */
  private static final long RESTORE_MS = 10_000;

  private final EventLoop loop;
  private final DecisionLog log;
  private final Map<String, Evacuation> standing = new HashMap<>();
  private Consumer<String> ended = dataCentre -> {};
  private boolean known = true;
  private long passedOver;

  /** One that stands, since a time; another object for the same data centre is a later one. */
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

  /** Tells {@code listener} from now on of each data centre whose evacuation is taken back. */
  void onEnded(Consumer<String> listener) {
    ended = listener;
  }

  /** Says that this VM reads which stand: until it has, it does not know. */
  public void expectList() {
    known = false;
  }

  /** Returns true unless what stands is still to be read. */
  boolean known() {
    return known;
  }

  /**
   * Takes all that stand.
   *
   * @param storeIsOlder true if the store may have forgotten some
   */
  public void replaceAll(Collection<String> dataCentres, boolean storeIsOlder) {
    dataCentres.forEach(this::begin);
    known = true;
    for (Map.Entry<String, Evacuation> entry : Map.copyOf(standing).entrySet()) {
      if (dataCentres.contains(entry.getKey())) {
        continue;
      }
      if (storeIsOlder) {
        holdMissing(entry.getKey(), entry.getValue());
      } else if (!entry.getValue().isMissing) {
        end(entry.getKey());
      }
    }
  }

  private void holdMissing(String dataCentre, Evacuation held) {
    held.isMissing = true;
    loop.schedule(
        RESTORE_MS,
        () -> {
          if (held.isMissing && standing.get(dataCentre) == held) {
            end(dataCentre);
          }
        });
  }

  /** Takes one that begins, or that stands already. */
  public void begin(String dataCentre) {
    Evacuation known = standing.get(dataCentre);
    if (known != null) {
      known.isMissing = false;
      return;
    }
    standing.put(dataCentre, new Evacuation(loop.millis()));
    log.evacuation(dataCentre, true, 0);
  }

  /** Takes one back. */
  public void end(String dataCentre) {
    Evacuation known = standing.remove(dataCentre);
    if (known != null) {
      log.evacuation(dataCentre, false, loop.millis() - known.sinceMs);
      ended.accept(dataCentre);
    }
  }

  /** Returns true if nothing may be sent to a data centre's servers. */
  boolean holds(String dataCentre) {
    boolean holds = standing.containsKey(dataCentre);
    passedOver += holds ? 1 : 0;
    return holds;
  }

  /** Returns the data centres that are evacuated. */
  public Set<String> dataCentres() {
    return Set.copyOf(standing.keySet());
  }

  /** Returns how often a server was passed over because of an evacuation. */
  public long passedOver() {
    return passedOver;
  }
}
