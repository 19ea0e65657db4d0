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

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.JsonCursor;
import org.landingtrack.internal.base.JsonSlice;
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
  static final int MAX_STORED = 200;

  /**
   * Delay before VMs write a request that another VM quarantined. The VM that saw the last crash
   * writes at once; the others write only if it was lost before it could.
   */
  private static final long FALLBACK_WRITE_DELAY_MS = 1_000;

  /** Random part of that delay, so that one VM writes first and the others find it stored. */
  private static final int WRITE_JITTER_MS = 3_000;

  /** Delay between attempts while the store is out; a VM that starts needs it within seconds. */
  private static final long RETRY_MS = 500;

  /** Attempts of a write that conflicts with other VMs' writes, before {@link #RETRY_MS} passes. */
  private static final int MAX_WRITE_ATTEMPTS = 4;

  /** Most characters of a stored request; one has about 150. */
  private static final int MAX_REQUEST_CHARS = 4_096;

  private static final Logger log = LoggerFactory.getLogger("quarantine");

  private final ObjectApi api;
  private final Quarantine quarantine;
  private final Executor loop;
  private final Scheduler scheduler;
  private final LongSupplier unixClock;
  private final RandomGenerator random;
  private final Executor callExecutor;

  /** Runs a task on the event loop after a delay. */
  @FunctionalInterface
  public interface Scheduler {
    void schedule(long delayMs, Runnable task);
  }

  /** Value of the stored object. */
  record Stored(List<StoredRequest> requests) {
    Stored {
      requests = List.copyOf(requests);
    }
  }

  /**
   * A stored request or prompt part.
   *
   * @param digest as {@link SuspectKey#hex} returns it
   * @param bodyBytes as {@link SuspectReport#detail} returns it
   * @param ended hashes of the crashed servers' incarnations
   * @param lastMs time of the last crash, in Unix milliseconds
   */
  record StoredRequest(String digest, int bodyBytes, List<Long> ended, long lastMs) {
    /** Throws for a malformed digest, so that the whole object counts as unreadable. */
    StoredRequest {
      ended = List.copyOf(ended);
      SuspectKey.parse(digest, bodyBytes);
    }

    SuspectReport toReport(long ageMs) {
      SuspectKey bits = SuspectKey.parse(digest, bodyBytes);
      return SuspectReport.decode(
          bits.high(), bits.low(), bodyBytes, ended, List.of(), ageMs, true);
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
      Scheduler later,
      LongSupplier timeOfDay,
      RandomGenerator random) {
    this.api = api;
    this.quarantine = quarantine;
    this.callExecutor = calls;
    this.loop = loop;
    this.scheduler = later;
    this.unixClock = timeOfDay;
    this.random = random;
  }

  /**
   * Starts reading the stored requests, and writing those that are quarantined from now on. Call it
   * on the event loop.
   */
  public void start() {
    quarantine.addListener(this::onChanged);
    callExecutor.execute(this::read);
  }

  private void onChanged(Suspicion suspicion) {
    SuspectKey key = suspicion.key();
    boolean seenHere = suspicion.seenHere();
    if (suspicion.change() == Change.QUARANTINED) {
      long delayMs = seenHere ? 0 : FALLBACK_WRITE_DELAY_MS + random.nextInt(WRITE_JITTER_MS);
      scheduler.schedule(delayMs, () -> save(key, seenHere));
    } else if (suspicion.change() == Change.CLEARED && seenHere && quarantine.isSaved(key)) {
      callExecutor.execute(() -> remove(key));
    }
  }

  /**
   * Writes all quarantined requests again, since the store was rolled back to an older copy. Any
   * thread may call it. A request that the store still has costs one read.
   */
  public void onStoreRolledBack() {
    loop.execute(
        () -> {
          for (SuspectReport report : quarantine.quarantinedReports()) {
            scheduler.schedule(
                random.nextInt(WRITE_JITTER_MS), () -> callExecutor.execute(() -> save(report)));
          }
        });
  }

  /**
   * Writes a suspect if it is still quarantined.
   *
   * @param alsoIfSaved true to write also a suspect that was saved before, since it may have been
   *     removed again
   */
  private void save(SuspectKey key, boolean alsoIfSaved) {
    SuspectReport report = quarantine.quarantinedReport(key);
    if (report != null && (alsoIfSaved || !report.saved())) {
      callExecutor.execute(() -> save(report));
    }
  }

  private void read() {
    try {
      List<SuspectReport> reports = new ArrayList<>();
      for (StoredRequest request : parse(api.read(CallClass.CONFIGURATION, KEY))) {
        reports.add(toReport(request));
      }
      loop.execute(() -> quarantine.receive(reports));
    } catch (PlatformException e) {
      loop.execute(() -> scheduler.schedule(RETRY_MS, () -> callExecutor.execute(this::read)));
    }
  }

  private SuspectReport toReport(StoredRequest request) {
    long agoMs = Math.max(0, unixClock.getAsLong() - request.lastMs());
    return request.toReport(agoMs);
  }

  /**
   * Returns the stored requests; none if there is no object or it is unreadable. The next write
   * removes what is unreadable, which identifies no request.
   */
  private static List<StoredRequest> parse(Optional<StoredObject> object) {
    if (object.isEmpty()) {
      return List.of();
    }
    List<StoredRequest> requests = new ArrayList<>();
    int unreadable = 0;
    String why = "";
    try {
      JsonSlice stored = JsonSlice.of(object.get().value());
      if (!stored.isObject()) {
        throw new IOException("the object has no requests");
      }
      JsonCursor elements = stored.field("requests").elements();
      while (elements.next()) {
        try {
          requests.add(parseRequest(elements.value()));
        } catch (LandingtrackException e) {
          unreadable++;
          why = e.getMessage();
        }
      }
    } catch (IOException e) {
      unreadable++;
      why = e.getMessage();
    }
    if (unreadable > 0) {
      log.warn(
          "{} quarantined requests in the store cannot be read and will be overwritten: {}.",
          unreadable,
          why);
    }
    return requests;
  }

  private static StoredRequest parseRequest(JsonSlice request) {
    if (request.length() > MAX_REQUEST_CHARS) {
      throw new LandingtrackException(ErrorKind.BAD_REQUEST, KEY + ": a request is too long");
    }
    return Json.read(KEY, request.json(), StoredRequest.class);
  }

  private void save(SuspectReport report) {
    try {
      for (int attempts = 0; attempts < MAX_WRITE_ATTEMPTS; attempts++) {
        if (tryWrite(report)) {
          loop.execute(() -> quarantine.markSaved(report.charge().key()));
          return;
        }
      }
    } catch (PlatformException e) {
      log.info(
          "Quarantined request {} could not be written to the store yet: {}.",
          report.charge().key().hex(),
          e);
    }
    loop.execute(() -> scheduler.schedule(RETRY_MS, () -> save(report.charge().key(), false)));
  }

  /** Removes a suspect that ended well. If the store is out, it expires with time. */
  private void remove(SuspectKey key) {
    try {
      for (int attempts = 0; attempts < MAX_WRITE_ATTEMPTS; attempts++) {
        Optional<StoredObject> object = api.read(CallClass.STATUS, KEY);
        List<StoredRequest> kept = new ArrayList<>(parse(object));
        boolean isStored = kept.removeIf(request -> request.digest().equals(key.hex()));
        if (!isStored || tryReplace(object, kept)) {
          return;
        }
      }
    } catch (PlatformException e) {
      log.info("Suspect {} ended well but could not be removed from the store: {}.", key.hex(), e);
    }
  }

  /**
   * Adds a request to the stored ones, unless it is there.
   *
   * @return false if another VM wrote in between
   */
  private boolean tryWrite(SuspectReport report) {
    Optional<StoredObject> object = api.read(CallClass.STATUS, KEY);
    List<StoredRequest> stored = parse(object);
    String hex = report.charge().key().hex();
    if (stored.stream().anyMatch(request -> request.digest().equals(hex))) {
      return true;
    }
    long now = unixClock.getAsLong();
    List<StoredRequest> kept = new ArrayList<>(stored);
    kept.add(
        new StoredRequest(hex, report.detail(), report.crashedServers(), now - report.ageMs()));
    kept.removeIf(request -> now - request.lastMs() > Quarantine.RETENTION_MS);
    kept.sort(Comparator.comparingLong(StoredRequest::lastMs).reversed());
    return tryReplace(object, kept.subList(0, Math.min(MAX_STORED, kept.size())));
  }

  /** Replaces the stored object; returns false if another VM wrote in between. */
  private boolean tryReplace(Optional<StoredObject> object, List<StoredRequest> requests) {
    try {
      api.write(
          CallClass.STATUS,
          KEY,
          Json.write(new Stored(requests)),
          object.map(StoredObject::version).orElse(ObjectApi.ABSENT));
      return true;
    } catch (PlatformException e) {
      if (e.reason() == PlatformException.Reason.CONFLICT) {
        return false;
      }
      throw e;
    }
  }
}
