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

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.StoredObject;
import org.landingtrack.internal.quarantine.Quarantine.Change;
import org.landingtrack.internal.quarantine.Quarantine.Suspicion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps quarantined requests in the Object API: all VMs may be lost at once, and each request would
 * end three more servers before the new ones knew it. A VM reads them once at its start; afterwards
 * it hears of new ones from the others. One VM writes each, by two calls.
 */
public final class QuarantineArchive {
  static final String KEY = "quarantine/requests";

  /** Requests that are kept, the newest ones: some 30 kB of a megabyte. */
  static final int MAX_KEPT = 200;

  /** The VM that saw the last end writes; others only if that one is lost before it could. */
  private static final long OTHERS_AFTER_MS = 1_000;

  private static final int OTHERS_SPREAD_MS = 3_000;

  /** Between tries while the store does not answer; a VM that starts needs it within seconds. */
  private static final long RETRY_MS = 500;

  private static final int CONFLICTS = 4;

  private static final Logger log = LoggerFactory.getLogger("quarantine");

  private final ObjectApi api;
  private final Quarantine quarantine;
  private final Executor loop;
  private final Later later;
  private final LongSupplier timeOfDay;
  private final RandomGenerator random;
  private final Executor calls;

  /** Runs a task on the event loop after a delay. */
  @FunctionalInterface
  public interface Later {
    void run(long delayMs, Runnable task);
  }

  /** What is stored. */
  record Stored(List<StoredRequest> requests) {
    Stored {
      requests = List.copyOf(requests);
    }
  }

  /**
   * A request as it is stored.
   *
   * @param lastMs when the last server ended under it, in Unix milliseconds
   */
  record StoredRequest(String digest, int bodyBytes, List<Long> ended, long lastMs) {
    /** Refuses what names no request, so that the whole is taken for unreadable. */
    StoredRequest {
      ended = List.copyOf(ended);
      RequestDigest.parse(digest, bodyBytes);
    }

    RequestDigest request() {
      return RequestDigest.parse(digest, bodyBytes);
    }
  }

  /**
   * Creates an archive that does nothing yet.
   *
   * @param calls where calls of {@code api} block
   * @param loop where {@code quarantine} is used
   * @param timeOfDay in Unix milliseconds; VMs' clocks may differ by seconds, where hours count
   */
  public QuarantineArchive(
      ObjectApi api,
      Quarantine quarantine,
      Executor calls,
      Executor loop,
      Later later,
      LongSupplier timeOfDay,
      RandomGenerator random) {
    this.api = api;
    this.quarantine = quarantine;
    this.calls = calls;
    this.loop = loop;
    this.later = later;
    this.timeOfDay = timeOfDay;
    this.random = random;
  }

  /** Begins to read, and to write what is quarantined from now on. Call it on the loop. */
  public void start() {
    quarantine.onChange(this::changed);
    calls.execute(this::read);
  }

  private void changed(Suspicion suspicion) {
    if (suspicion.change() != Change.QUARANTINED) {
      return;
    }
    long delayMs = suspicion.seenHere() ? 0 : OTHERS_AFTER_MS + random.nextInt(OTHERS_SPREAD_MS);
    later.run(delayMs, () -> saveIfDue(suspicion.digest()));
  }

  /**
   * Writes again what the store may have lost: it came back from an older copy. Any thread may call
   * it; what the store still has costs one read each.
   */
  public void storeRewound() {
    loop.execute(
        () -> {
          for (SuspectNews held : quarantine.held()) {
            later.run(random.nextInt(OTHERS_SPREAD_MS), () -> calls.execute(() -> save(held)));
          }
        });
  }

  private void saveIfDue(RequestDigest digest) {
    SuspectNews unsaved = quarantine.unsaved(digest);
    if (unsaved != null) {
      calls.execute(() -> save(unsaved));
    }
  }

  private void read() {
    try {
      List<SuspectNews> known = new ArrayList<>();
      for (StoredRequest request : stored(api.read(CallClass.CONFIGURATION, KEY))) {
        known.add(news(request));
      }
      loop.execute(() -> quarantine.heard(known));
    } catch (PlatformException e) {
      loop.execute(() -> later.run(RETRY_MS, () -> calls.execute(this::read)));
    }
  }

  private SuspectNews news(StoredRequest request) {
    long agoMs = Math.max(0, timeOfDay.getAsLong() - request.lastMs());
    return new SuspectNews(request.request(), request.ended(), List.of(), agoMs, true);
  }

  /** What cannot be read is written anew; it names no request that can be known again. */
  private static List<StoredRequest> stored(Optional<StoredObject> object) {
    if (object.isEmpty()) {
      return List.of();
    }
    try {
      return Json.read(KEY, object.get().value(), Stored.class).requests();
    } catch (LandingtrackException e) {
      log.warn("Quarantined requests in the store cannot be read: {}.", e.getMessage());
      return List.of();
    }
  }

  private void save(SuspectNews request) {
    try {
      for (int tries = 0; tries < CONFLICTS; tries++) {
        if (tryWrite(request)) {
          loop.execute(() -> quarantine.saved(request.digest()));
          return;
        }
      }
    } catch (PlatformException e) {
      log.info("Quarantined request {} is not in the store yet: {}.", request.digest().hex(), e);
    }
    loop.execute(() -> later.run(RETRY_MS, () -> saveIfDue(request.digest())));
  }

  /** Returns false if another VM wrote meanwhile. */
  private boolean tryWrite(SuspectNews request) {
    Optional<StoredObject> object = api.read(CallClass.STATUS, KEY);
    List<StoredRequest> before = stored(object);
    String hex = request.digest().hex();
    if (before.stream().anyMatch(each -> each.digest().equals(hex))) {
      return true;
    }
    long now = timeOfDay.getAsLong();
    List<StoredRequest> kept = new ArrayList<>(before);
    kept.add(
        new StoredRequest(
            hex, request.digest().bodyBytes(), request.ended(), now - request.agoMs()));
    kept.removeIf(each -> now - each.lastMs() > Quarantine.KEPT_MS);
    kept.sort(Comparator.comparingLong(StoredRequest::lastMs).reversed());
    String value = Json.write(new Stored(kept.subList(0, Math.min(MAX_KEPT, kept.size()))));
    try {
      api.write(
          CallClass.STATUS, KEY, value, object.map(StoredObject::version).orElse(ObjectApi.ABSENT));
      return true;
    } catch (PlatformException e) {
      if (e.reason() == PlatformException.Reason.CONFLICT) {
        return false;
      }
      throw e;
    }
  }
}
