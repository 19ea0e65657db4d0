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
import org.landingtrack.internal.base.Awake;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.loads.FeedNews;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A VM reads by way of a hub while that is as good as reading itself, and itself otherwise. */
public final class RelayedObjectApiTest {
  private static final String KIND = "servers";
  private static final String HUB = "10.1.0.1:7580";
  private static final long MAX_AGE_MS = 2_400;
  private static final long WAIT_MS = 1;

  /** What a datagram may take, and is taken to have taken. */
  private static final long WAY_MS = 300;

  private static final long TICK_MS = 100;

  private FakeTicker ticker = new FakeTicker();
  private Store store = new Store();
  private Vm vm = new Vm();

  @BeforeMethod
  public void newWorld() {
    ticker = new FakeTicker();
    ticker.pass(100_000);
    store = new Store();
    vm = new Vm();
    run(2_000);
  }

  /** Time goes by while the VM runs. */
  private void run(long ms) {
    for (long left = ms; left > 0; left -= TICK_MS) {
      ticker.pass(Math.min(TICK_MS, left));
      vm.awake.tick();
    }
  }

  /** An Object API that answers at once, in order, and counts the calls. */
  private static final class Store implements ObjectApi {
    private final List<StoredObject> changes = new ArrayList<>();
    private int calls;
    private boolean answers = true;

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
      if (!answers) {
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

  /** One VM that follows the kind, with its own clock of standing still. */
  private final class Vm implements RelayedObjectApi.HubClient {
    final Awake awake = new Awake(ticker);
    final FeedCache cache = new FeedCache();
    final FeedNewsBoard board = new FeedNewsBoard(ticker, awake, List.of(KIND));
    final DatedObjectApi dated = new DatedObjectApi(store, ticker, awake);
    final RelayedObjectApi api =
        new RelayedObjectApi(
            dated, cache, board, this, () -> this.isHub, kind -> MAX_AGE_MS, ticker);
    final Map<String, String> known = new TreeMap<>();
    final ObjectFeed.Sink sink =
        cache.keeping(
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
              public void lost() {}

              @Override
              public void regained() {}
            });
    boolean isHub;
    boolean reachesHub = true;
    @Nullable Vm hub;
    long revision = -1;

    /** As a feed does: a list first and after each failure, then watches. */
    void step() {
      long from = revision;
      revision = -1;
      if (from < 0) {
        Listing all = api.list(CallClass.CONFIGURATION, KIND, "", 100);
        revision = all.revision();
        sink.replaced(all);
        return;
      }
      Listing changes = api.watch(CallClass.CONFIGURATION, KIND, from, WAIT_MS);
      assertTrue(changes.revision() >= from, "went back");
      revision = changes.revision();
      if (!changes.objects().isEmpty()) {
        sink.changed(changes);
      }
    }

    @Override
    public Optional<Listing> all(String address, String prefix) {
      return reachesHub && hub != null ? hub.cache.all(prefix) : Optional.empty();
    }

    @Override
    public Optional<Listing> since(String address, String prefix, long after) {
      return reachesHub && hub != null ? hub.cache.since(prefix, after) : Optional.empty();
    }
  }

  private Vm newHub() {
    Vm hub = new Vm();
    hub.isHub = true;
    vm.hub = hub;
    hub.step();
    return hub;
  }

  private void tell(Vm hub) {
    vm.board.heard(HUB, hub.api.news(List.of(KIND)));
  }

  @Test
  public void whileAHubSaysWhereItIsTheStoreIsNotAsked() {
    store.put("a", "1");
    vm.step();
    Vm hub = newHub();
    tell(hub);
    int before = store.calls;
    store.put("a", "2");
    store.put("b", "1");
    store.put("a", "");
    hub.step();
    tell(hub);
    vm.step();
    assertEquals(store.calls, before + 1, "the hub's call alone");
    assertEquals(vm.known, Map.of("b", "1"));
    assertEquals(vm.api.lateMs(KIND), MAX_AGE_MS);
  }

  @Test
  public void aHubThatIsSilentIsLeftWhenItsWordIsOld() {
    vm.step();
    Vm hub = newHub();
    tell(hub);
    store.put("a", "1");
    run(MAX_AGE_MS - WAY_MS);
    vm.step();
    assertEquals(vm.known, Map.of(), "the word still counts");
    run(1);
    vm.step();
    assertEquals(vm.known, Map.of("a", "1"));
    assertEquals(vm.api.lateMs(KIND), 0);
  }

  /** A hub that was cut from the store goes on speaking, but its word gets old. */
  @Test
  public void aHubThatIsBehindIsLeftWhenItsWordIsOld() {
    vm.step();
    Vm hub = newHub();
    store.put("a", "1");
    for (long ms = 0; ms <= MAX_AGE_MS; ms += 100) {
      tell(hub);
      run(TICK_MS);
    }
    vm.step();
    assertEquals(vm.known, Map.of("a", "1"));
  }

  @Test
  public void aHubThatDoesNotAnswerIsLeftAtOnce() {
    vm.step();
    Vm hub = newHub();
    store.put("a", "1");
    hub.step();
    tell(hub);
    vm.reachesHub = false;
    vm.step();
    assertEquals(vm.known, Map.of("a", "1"));
    int before = store.calls;
    tell(hub);
    vm.step();
    assertEquals(store.calls, before + 1, "the hub is not trusted yet");
  }

  @Test
  public void aListFromAHubNeverGoesBack() {
    store.put("a", "1");
    Vm hub = newHub();
    store.put("a", "");
    vm.step();
    tell(hub);
    vm.revision = -1;
    vm.step();
    assertEquals(vm.known, Map.of());
  }

  /** A hub whose watch was cut lists anew; its VMs need not, and hear of what went meanwhile. */
  @Test
  public void aHubThatListsAnewTellsTheDifference() {
    store.put("a", "1");
    store.put("b", "1");
    vm.step();
    Vm hub = newHub();
    tell(hub);
    store.put("a", "");
    store.put("c", "1");
    hub.revision = -1;
    hub.step();
    tell(hub);
    int before = store.calls;
    vm.step();
    assertEquals(store.calls, before);
    assertEquals(vm.known, Map.of("b", "1", "c", "1"));
    assertEquals(vm.cache.all(KIND), hub.cache.all(KIND));
  }

  @Test
  public void withoutTheStoreAVmLearnsFromItsHub() {
    vm.step();
    Vm hub = newHub();
    store.put("a", "1");
    hub.step();
    tell(hub);
    store.answers = false;
    vm.revision = -1;
    vm.step();
    assertEquals(vm.known, Map.of("a", "1"));
  }

  /** What lay in a socket while the VM stood still is of any age. */
  @Test
  public void newsThatMayHaveLainInASocketDoNotCount() {
    vm.step();
    Vm hub = newHub();
    ticker.pass(7_000);
    vm.awake.tick();
    vm.board.heard(HUB, List.of(new FeedNews(KIND, 0, 0, 0)));
    store.put("a", "1");
    vm.step();
    assertEquals(vm.known, Map.of("a", "1"));
    assertEquals(hub.known, Map.of());
  }

  /** What a hub was told by another one is no word of its own. */
  @Test
  public void aHubTellsOnlyWhatItReadItself() {
    vm.step();
    assertFalse(vm.api.news(List.of(KIND)).isEmpty());
    Vm hub = newHub();
    store.put("a", "1");
    hub.step();
    tell(hub);
    vm.step();
    assertEquals(vm.api.news(List.of(KIND)), List.of());
  }

  /** Bounds run from when a change was made: after the last word of the hub without it. */
  @Test
  public void aChangeIsDatedByTheHubsLastWordWithoutIt() {
    vm.step();
    Vm hub = newHub();
    run(500);
    hub.step();
    long saidMs = ticker.millis();
    tell(hub);
    run(400);
    store.put("a", "1");
    hub.step();
    tell(hub);
    vm.step();
    OptionalLong madeAfterMs = vm.dated.madeAfterMs(KIND, 1);
    assertTrue(madeAfterMs.isPresent());
    assertTrue(madeAfterMs.getAsLong() <= saidMs, "later than the change can be");
    assertTrue(madeAfterMs.getAsLong() >= saidMs - WAY_MS - 1_000, "far too early");
  }

  /**
   * Returns the first revision from one on whose state is what the VM knows; -1 if there is none.
   */
  private int shownRevision(int from) {
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
   * Hubs are cut from the store, fall silent, do not answer and come back; news are lost; the VM's
   * own calls work. Whatever comes, what the VM knows is what the store had at some moment of the
   * allowed age or later, and never an older state after a newer one. A change that another one
   * undoes need not be seen: a hub that lists anew does not see it either.
   */
  @Test(dataProvider = "seeds")
  public void aVmHearsOfEachChangeInTime(long seed) {
    Random random = new Random(seed);
    vm.step();
    Vm hub = newHub();
    boolean hubReads = true;
    boolean hubSpeaks = true;
    List<Long> madeAtMs = new ArrayList<>();
    int shown = 0;
    for (int step = 0; step < 2_000; step++) {
      ticker.pass(50);
      vm.awake.tick();
      hub.awake.tick();
      if (random.nextInt(20) == 0) {
        store.put("n" + random.nextInt(3), random.nextInt(3) == 0 ? "" : "v" + step);
        madeAtMs.add(ticker.millis());
      }
      if (random.nextInt(40) == 0) {
        hubReads = random.nextBoolean();
        hubSpeaks = random.nextBoolean();
        vm.reachesHub = random.nextInt(4) > 0;
      }
      if (hubReads) {
        hub.revision = random.nextInt(30) == 0 ? -1 : hub.revision;
        hub.step();
      }
      if (hubSpeaks && random.nextInt(10) > 0) {
        tell(hub);
      }
      vm.step();
      long dueMs = ticker.millis() - MAX_AGE_MS;
      int due = (int) madeAtMs.stream().filter(madeMs -> madeMs < dueMs).count();
      shown = shownRevision(Math.max(due, shown));
      assertTrue(shown >= 0, "step " + step + ": " + vm.known + ", revision " + due + " is due");
    }
    assertTrue(store.calls < 4_000, "the store was asked " + store.calls + " times");
  }
}
