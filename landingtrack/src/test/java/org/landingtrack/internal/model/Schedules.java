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
package org.landingtrack.internal.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Explores what can happen to a small world: every schedule of its actions up to a length, and long
 * random ones from seeds. The world checks its invariants after each action.
 */
public final class Schedules {
  private Schedules() {}

  /** A world in its first state, with what may happen to it. */
  public interface World {
    /** Returns what may happen, always in the same order. */
    List<Action> actions();

    /** Throws an {@link AssertionError} if an invariant does not hold. */
    void check();
  }

  /** Something that may happen. */
  public record Action(String name, Runnable run) {}

  /** Tries every schedule of a length; returns their number. */
  public static int exhaustive(Supplier<World> start, int length) {
    int choices = start.get().actions().size();
    int schedules = (int) Math.pow(choices, length);
    for (int number = 0; number < schedules; number++) {
      int[] schedule = new int[length];
      int rest = number;
      for (int i = 0; i < length; i++) {
        schedule[i] = rest % choices;
        rest /= choices;
      }
      run(start.get(), schedule);
    }
    return schedules;
  }

  /** Tries random schedules. */
  public static void random(Supplier<World> start, long seed, int schedules, int length) {
    SplittableRandom random = new SplittableRandom(seed);
    int choices = start.get().actions().size();
    for (int i = 0; i < schedules; i++) {
      int[] schedule = random.ints(length, 0, choices).toArray();
      run(start.get(), schedule);
    }
  }

  private static void run(World world, int[] schedule) {
    List<Action> actions = world.actions();
    List<String> done = new ArrayList<>();
    for (int choice : schedule) {
      done.add(actions.get(choice).name());
      actions.get(choice).run().run();
      try {
        world.check();
      } catch (AssertionError e) {
        throw new AssertionError("after " + done + ": " + e.getMessage(), e);
      }
    }
  }
}
