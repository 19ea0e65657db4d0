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
package org.landingtrack.internal.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.base.StallDetector;
import org.landingtrack.internal.loads.FeedReport;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that a VM reads through a hub while the hub's reports are recent enough, and reads the
 * Object API directly otherwise.
 */
public final class RelayedObjectApiTest {
  private static final String KIND = "servers";
  private static final String HUB = "10.1.0.1:7580";
  private static final long MAX_AGE_MS = 2_400;
  private static final long WAIT_MS = 1;

  /** Maximum transit time of a datagram; the code assumes it for every datagram. */
  private static final long TRANSIT_MS = 300;

  private static final long TICK_MS = 100;

  private FakeTicker ticker = new FakeTicker();
  private Store store = new Store();
  private Vm vm = new Vm();

  @BeforeMethod
  public void setUp() {
    ticker = new FakeTicker();
    ticker.advance(100_000);
    store = new Store();
    vm = new Vm();
    advance(2_000);
  }

  /** Advances the clock while the VM is running. */
  private void advance(long ms) {
    for (long remainingMs = ms; remainingMs > 0; remainingMs -= TICK_MS) {
      ticker.advance(Math.min(TICK_MS, remainingMs));
      vm.awake.tick();
    }
  }

  /** An Object API that answers at once, in order, and counts calls. */
  private static final class Store implements ObjectApi {
    private final List<StoredObject> changes = new ArrayList<>();
    private int calls;
    private boolean available = true;

    void put(String name, String value) {
      long revision = changes.size() + 1L;
      changes.add(new StoredObject(KIND + "/" + name, revision, revision, value));
    }

    Map<String, String> stateAt(int revision) {
      Map<String, String> state = new TreeMap<>();
      for (StoredObject change : changes.subList(0, revision)) {
        state.put(change.name(), change.value());
      }
      state.values().removeIf(String::isEmpty);
      return state;
    }

    private void call() {
      calls++;
      if (!available) {
        throw new PlatformException(PlatformException.Reason.UNAVAILABLE, "out");
      }
    }

    @Override
    public Listing list(CallClass callClass, String prefix, String after, int limit) {
      call();
      Map<String, StoredObject> all = new TreeMap<>();
      for (StoredObject change : changes) {
        all.put(change.key(), change);
      }
      all.values().removeIf(StoredObject::isRemoved);
      return new Listing(changes.size(), List.copyOf(all.values()));
    }

    @Override
    public Listing watch(CallClass callClass, String prefix, long after, long waitMs) {
      call();
      return new Listing(changes.size(), changes.subList((int) after, changes.size()));
    }

    @Override
    public Optional<StoredObject> read(CallClass callClass, String key) {
      return Optional.empty();
    }

    @Override
    public StoredObject write(CallClass callClass, String key, String value, long version) {
      throw new UnsupportedOperationException();
    }
  }

  /** A VM that follows the kind, with its own detection of suspensions. */
  private final class Vm implements RelayedObjectApi.HubClient {
    final StallDetector awake = new StallDetector(ticker);
    final FeedCache cache = new FeedCache();
    final HubReports hubReports = new HubReports(ticker, awake, List.of(KIND));
    final TimestampedObjectApi timestamped = new TimestampedObjectApi(store, ticker, awake);
    final RelayedObjectApi api =
        new RelayedObjectApi(
            timestamped, cache, hubReports, this, () -> this.isHub, kind -> MAX_AGE_MS, ticker);
    final Map<String, String> known = new TreeMap<>();
    final ObjectFeed.Sink sink =
        cache.caching(
            KIND,
            new ObjectFeed.Sink() {
              @Override
              public void replaced(Listing all) {
                known.clear();
                changed(all);
              }

              @Override
              public void changed(Listing changes) {
                for (StoredObject object : changes.objects()) {
                  if (object.isRemoved()) {
                    known.remove(object.name());
                  } else {
                    known.put(object.name(), object.value());
                  }
                }
              }

              @Override
              public void outageStarted() {}

              @Override
              public void recovered() {}
            });
    boolean isHub;
    boolean reachesHub = true;
    @Nullable Vm hub;
    long revision = -1;

    /** Reads once like a feed: lists first and after each failure, and watches otherwise. */
    void readOnce() {
      long from = revision;
      revision = -1;
      if (from < 0) {
        Listing all = api.list(CallClass.CONFIGURATION, KIND, "", 100);
        revision = all.revision();
        sink.replaced(all);
        return;
      }
      Listing changes = api.watch(CallClass.CONFIGURATION, KIND, from, WAIT_MS);
      assertTrue(changes.revision() >= from, "the revision decreased");
      revision = changes.revision();
      if (!changes.objects().isEmpty()) {
        sink.changed(changes);
      }
    }

    @Override
    public Optional<Listing> snapshot(String address, String prefix) {
      return reachesHub && hub != null ? hub.cache.snapshot(prefix) : Optional.empty();
    }

    @Override
    public Optional<Listing> changesSince(String address, String prefix, long after) {
      return reachesHub && hub != null ? hub.cache.changesSince(prefix, after) : Optional.empty();
    }
  }

  private Vm newHub() {
    Vm hub = new Vm();
    hub.isHub = true;
    vm.hub = hub;
    hub.readOnce();
    return hub;
  }

  private void sendReports(Vm hub) {
    vm.hubReports.receive(HUB, hub.api.feedReports(List.of(KIND)));
  }

  @Test
  public void storeIsNotReadWhileHubReportsAreRecent() {
    store.put("a", "1");
    vm.readOnce();
    Vm hub = newHub();
    sendReports(hub);
    int callsBefore = store.calls;
    store.put("a", "2");
    store.put("b", "1");
    store.put("a", "");
    hub.readOnce();
    sendReports(hub);
    vm.readOnce();
    assertEquals(store.calls, callsBefore + 1, "only the hub must call the store");
    assertEquals(vm.known, Map.of("b", "1"));
    assertEquals(vm.api.maxRelayDelayMs(KIND), MAX_AGE_MS);
  }

  @Test
  public void silentHubIsNotUsedAfterItsReportIsTooOld() {
    vm.readOnce();
    Vm hub = newHub();
    sendReports(hub);
    store.put("a", "1");
    advance(MAX_AGE_MS - TRANSIT_MS);
    vm.readOnce();
    assertEquals(vm.known, Map.of(), "the report is still recent enough");
    advance(1);
    vm.readOnce();
    assertEquals(vm.known, Map.of("a", "1"));
    assertEquals(vm.api.maxRelayDelayMs(KIND), 0);
  }

  /** A hub without connection to the store goes on reporting, but its information gets old. */
  @Test
  public void laggingHubIsNotUsedAfterItsReportIsTooOld() {
    vm.readOnce();
    Vm hub = newHub();
    store.put("a", "1");
    for (long ms = 0; ms <= MAX_AGE_MS; ms += 100) {
      sendReports(hub);
      advance(TICK_MS);
    }
    vm.readOnce();
    assertEquals(vm.known, Map.of("a", "1"));
  }

  @Test
  public void unresponsiveHubIsNotUsedAtOnce() {
    vm.readOnce();
    Vm hub = newHub();
    store.put("a", "1");
    hub.readOnce();
    sendReports(hub);
    vm.reachesHub = false;
    vm.readOnce();
    assertEquals(vm.known, Map.of("a", "1"));
    int callsBefore = store.calls;
    sendReports(hub);
    vm.readOnce();
    assertEquals(store.calls, callsBefore + 1, "the hub must not be asked again yet");
  }

  @Test
  public void listFromAHubNeverRevertsTheRevision() {
    store.put("a", "1");
    Vm hub = newHub();
    store.put("a", "");
    vm.readOnce();
    sendReports(hub);
    vm.revision = -1;
    vm.readOnce();
    assertEquals(vm.known, Map.of());
  }

  /**
   * A hub whose watch failed lists again. Its VMs need not, and they receive what was removed in
   * between.
   */
  @Test
  public void hubThatListsAgainServesTheDifference() {
    store.put("a", "1");
    store.put("b", "1");
    vm.readOnce();
    Vm hub = newHub();
    sendReports(hub);
    store.put("a", "");
    store.put("c", "1");
    hub.revision = -1;
    hub.readOnce();
    sendReports(hub);
    int callsBefore = store.calls;
    vm.readOnce();
    assertEquals(store.calls, callsBefore);
    assertEquals(vm.known, Map.of("b", "1", "c", "1"));
    assertEquals(vm.cache.snapshot(KIND), hub.cache.snapshot(KIND));
  }

  @Test
  public void vmReadsFromItsHubDuringAStoreOutage() {
    vm.readOnce();
    Vm hub = newHub();
    store.put("a", "1");
    hub.readOnce();
    sendReports(hub);
    store.available = false;
    vm.revision = -1;
    vm.readOnce();
    assertEquals(vm.known, Map.of("a", "1"));
  }

  /** A report that waited in a socket while the VM was suspended may be of any age. */
  @Test
  public void reportsReadAfterASuspensionAreDropped() {
    vm.readOnce();
    Vm hub = newHub();
    ticker.advance(7_000);
    vm.awake.tick();
    vm.hubReports.receive(HUB, List.of(new FeedReport(KIND, 0, 0, 0)));
    store.put("a", "1");
    vm.readOnce();
    assertEquals(vm.known, Map.of("a", "1"));
    assertEquals(hub.known, Map.of());
  }

  /** A hub does not report what it has read through another hub. */
  @Test
  public void hubReportsOnlyWhatItReadDirectly() {
    vm.readOnce();
    assertFalse(vm.api.feedReports(List.of(KIND)).isEmpty());
    Vm hub = newHub();
    store.put("a", "1");
    hub.readOnce();
    sendReports(hub);
    vm.readOnce();
    assertEquals(vm.api.feedReports(List.of(KIND)), List.of());
  }

  /**
   * Time limits are measured from the time of a change, which is after the hub's last report
   * without it.
   */
  @Test
  public void changeIsLaterThanTheHubsLastReportWithoutIt() {
    vm.readOnce();
    Vm hub = newHub();
    advance(500);
    hub.readOnce();
    long reportedMs = ticker.millis();
    sendReports(hub);
    advance(400);
    store.put("a", "1");
    hub.readOnce();
    sendReports(hub);
    vm.readOnce();
    OptionalLong madeAfterMs = vm.timestamped.earliestChangeMs(KIND, 1);
    assertTrue(madeAfterMs.isPresent());
    assertTrue(
        madeAfterMs.getAsLong() <= reportedMs,
        "the time must not be later than the last report without the change");
    assertTrue(
        madeAfterMs.getAsLong() >= reportedMs - TRANSIT_MS - 1_000,
        "the time is more than the transit and read delays too early");
  }

  /**
   * Returns the first revision, starting with {@code from}, whose state is what the VM knows; -1 if
   * there is none.
   */
  private int matchingRevision(int from) {
    for (int revision = from; revision <= store.changes.size(); revision++) {
      if (store.stateAt(revision).equals(vm.known)) {
        return revision;
      }
    }
    return -1;
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[40][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  /**
   * Simulates hubs that lose their connection to the store, fall silent, do not answer and recover,
   * and lost reports; the VM's direct calls work. At any time the VM must know a state of the store
   * that is no older than the allowed age, and never an older state after a newer one. A change
   * that another one reverts need not be seen: a hub that lists again does not see it either.
   */
  @Test(dataProvider = "seeds")
  public void vmReceivesEachChangeInTime(long seed) {
    Random random = new Random(seed);
    vm.readOnce();
    Vm hub = newHub();
    boolean hubReads = true;
    boolean hubIsReporting = true;
    List<Long> madeAtMs = new ArrayList<>();
    int matchedRevision = 0;
    for (int step = 0; step < 2_000; step++) {
      ticker.advance(50);
      vm.awake.tick();
      hub.awake.tick();
      if (random.nextInt(20) == 0) {
        store.put("n" + random.nextInt(3), random.nextInt(3) == 0 ? "" : "v" + step);
        madeAtMs.add(ticker.millis());
      }
      if (random.nextInt(40) == 0) {
        hubReads = random.nextBoolean();
        hubIsReporting = random.nextBoolean();
        vm.reachesHub = random.nextInt(4) > 0;
      }
      if (hubReads) {
        hub.revision = random.nextInt(30) == 0 ? -1 : hub.revision;
        hub.readOnce();
      }
      if (hubIsReporting && random.nextInt(10) > 0) {
        sendReports(hub);
      }
      vm.readOnce();
      long dueMs = ticker.millis() - MAX_AGE_MS;
      int dueRevision = (int) madeAtMs.stream().filter(madeMs -> madeMs < dueMs).count();
      matchedRevision = matchingRevision(Math.max(dueRevision, matchedRevision));
      assertTrue(
          matchedRevision >= 0,
          "step "
              + step
              + ": "
              + vm.known
              + " matches no state of the store from revision "
              + dueRevision
              + " on");
    }
    assertTrue(store.calls < 4_000, "the store was asked " + store.calls + " times");
  }
}
