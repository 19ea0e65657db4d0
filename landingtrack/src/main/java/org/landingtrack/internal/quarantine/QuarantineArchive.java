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
 * Stores quarantined requests in the platform's store through the Object API. All VMs may be lost
 * at once, and without a copy each request would crash three more servers before the new VMs
 * quarantined it. A VM reads the list once at its start and receives later ones from the other VMs.
 * One VM writes each request, in one read and one write.
 */
public final class QuarantineArchive {
  static final String KEY = "quarantine/requests";

  /** Maximum number of stored requests, the newest ones: about 30 kB; an object may have 1 MB. */
  static final int MAX_KEPT = 200;

  /**
   * Delay before VMs write a request that another VM quarantined. The VM that saw the last crash
   * writes at once; the others write only if it was lost before it could.
   */
  private static final long OTHERS_AFTER_MS = 1_000;

  /** Random part of that delay, so that one VM writes first and the others find it stored. */
  private static final int OTHERS_SPREAD_MS = 3_000;

  /** Delay between attempts while the store is out; a VM that starts needs it within seconds. */
  private static final long RETRY_MS = 500;

  /** Attempts of a write that conflicts with other VMs' writes, before {@link #RETRY_MS} passes. */
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

  /** Value of the stored object. */
  record Stored(List<StoredRequest> requests) {
    Stored {
      requests = List.copyOf(requests);
    }
  }

  /**
   * A stored request.
   *
   * @param digest as {@link RequestDigest#hex} returns it
   * @param ended hashes of the crashed servers' incarnations
   * @param lastMs time of the last crash, in Unix milliseconds
   */
  record StoredRequest(String digest, int bodyBytes, List<Long> ended, long lastMs) {
    /** Throws for a malformed digest, so that the whole object counts as unreadable. */
    StoredRequest {
      ended = List.copyOf(ended);
      RequestDigest.parse(digest, bodyBytes);
    }

    RequestDigest request() {
      return RequestDigest.parse(digest, bodyBytes);
    }
  }

  /**
   * Creates an archive that is not started.
   *
   * @param calls executor for the blocking calls of {@code api}
   * @param loop event loop on which {@code quarantine} is used
   * @param timeOfDay Unix time in milliseconds; clocks of VMs may differ by seconds, which is
   *     little compared with the hour for which requests are kept
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

  /**
   * Starts reading the stored requests, and writing those that are quarantined from now on. Call it
   * on the event loop.
   */
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
   * Writes all quarantined requests again, since the store was rolled back to an older copy. Any
   * thread may call it. A request that the store still has costs one read.
   */
  public void storeRewound() {
    loop.execute(
        () -> {
          for (SuspectNews report : quarantine.held()) {
            later.run(random.nextInt(OTHERS_SPREAD_MS), () -> calls.execute(() -> save(report)));
          }
        });
  }

  private void saveIfDue(RequestDigest digest) {
    SuspectNews report = quarantine.unsaved(digest);
    if (report != null) {
      calls.execute(() -> save(report));
    }
  }

  private void read() {
    try {
      List<SuspectNews> reports = new ArrayList<>();
      for (StoredRequest request : stored(api.read(CallClass.CONFIGURATION, KEY))) {
        reports.add(news(request));
      }
      loop.execute(() -> quarantine.heard(reports));
    } catch (PlatformException e) {
      loop.execute(() -> later.run(RETRY_MS, () -> calls.execute(this::read)));
    }
  }

  private SuspectNews news(StoredRequest request) {
    long agoMs = Math.max(0, timeOfDay.getAsLong() - request.lastMs());
    return new SuspectNews(request.request(), request.ended(), List.of(), agoMs, true);
  }

  /**
   * Returns the stored requests; none if there is no object or it is unreadable. The next write
   * replaces an unreadable object, which identifies no request.
   */
  private static List<StoredRequest> stored(Optional<StoredObject> object) {
    if (object.isEmpty()) {
      return List.of();
    }
    try {
      return Json.read(KEY, object.get().value(), Stored.class).requests();
    } catch (LandingtrackException e) {
      log.warn(
          "Quarantined requests in the store cannot be read and will be overwritten: {}.",
          e.getMessage());
      return List.of();
    }
  }

  private void save(SuspectNews report) {
    try {
      for (int attempts = 0; attempts < CONFLICTS; attempts++) {
        if (tryWrite(report)) {
          loop.execute(() -> quarantine.saved(report.digest()));
          return;
        }
      }
    } catch (PlatformException e) {
      log.info(
          "Quarantined request {} could not be written to the store yet: {}.",
          report.digest().hex(),
          e);
    }
    loop.execute(() -> later.run(RETRY_MS, () -> saveIfDue(report.digest())));
  }

  /**
   * Adds a request to the stored ones, unless it is there.
   *
   * @return false if another VM wrote in between
   */
  private boolean tryWrite(SuspectNews report) {
    Optional<StoredObject> object = api.read(CallClass.STATUS, KEY);
    List<StoredRequest> stored = stored(object);
    String hex = report.digest().hex();
    if (stored.stream().anyMatch(request -> request.digest().equals(hex))) {
      return true;
    }
    long now = timeOfDay.getAsLong();
    List<StoredRequest> kept = new ArrayList<>(stored);
    kept.add(
        new StoredRequest(hex, report.digest().bodyBytes(), report.ended(), now - report.agoMs()));
    kept.removeIf(request -> now - request.lastMs() > Quarantine.KEPT_MS);
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
