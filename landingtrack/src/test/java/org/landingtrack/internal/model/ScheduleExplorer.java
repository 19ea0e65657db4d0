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
 * Model checker for small models: runs all schedules of a model's actions of a given length, or
 * long random schedules from a seed. Checks the invariants of the model after each action.
 */
public final class ScheduleExplorer {
  private ScheduleExplorer() {}

  /** A model in its initial state, with its possible actions and its invariants. */
  public interface Model {
    /** Returns the possible actions, always in the same order. */
    List<Action> actions();

    /** Throws an {@link AssertionError} if an invariant does not hold. */
    void checkInvariants();
  }

  /** An action of a model. */
  public record Action(String name, Runnable run) {}

  /** Runs all schedules of a length and returns their number. */
  public static int exploreAll(Supplier<Model> start, int length) {
    int choices = start.get().actions().size();
    int schedules = (int) Math.pow(choices, length);
    for (int number = 0; number < schedules; number++) {
      int[] schedule = new int[length];
      int remaining = number;
      for (int i = 0; i < length; i++) {
        schedule[i] = remaining % choices;
        remaining /= choices;
      }
      run(start.get(), schedule);
    }
    return schedules;
  }

  /** Runs random schedules of a length. */
  public static void exploreRandom(Supplier<Model> start, long seed, int schedules, int length) {
    SplittableRandom random = new SplittableRandom(seed);
    int choices = start.get().actions().size();
    for (int i = 0; i < schedules; i++) {
      int[] schedule = random.ints(length, 0, choices).toArray();
      run(start.get(), schedule);
    }
  }

  private static void run(Model model, int[] schedule) {
    List<Action> actions = model.actions();
    List<String> executed = new ArrayList<>();
    for (int choice : schedule) {
      executed.add(actions.get(choice).name());
      actions.get(choice).run().run();
      try {
        model.checkInvariants();
      } catch (AssertionError e) {
        throw new AssertionError("after " + executed + ": " + e.getMessage(), e);
      }
    }
  }
}
