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
package org.landingtrack.internal.engine;

/** How an attempt ended. */
public sealed interface CompletionOutcome {
  /** The whole answer came, with its end mark. */
  record Whole(Usage usage) implements CompletionOutcome {}

  /**
   * Nothing ran, for certain.
   *
   * @param currentWeightVersion the version that the server has instead; empty unless that is why
   */
  record NotRun(String why, Reason reason, String currentWeightVersion)
      implements CompletionOutcome {
    /** Why a server did not run a request. */
    public enum Reason {
      /** It has no room now. */
      BUSY,
      /** It is loading weights and comes back by itself. */
      LOADING,
      /** It is leaving and takes no new work. */
      LEAVING,
      /** It has another weight version. */
      OTHER_VERSION,
      /** It looks broken. */
      FAULT
    }

    /** Returns an outcome for a server that is merely busy, or broken. */
    public static NotRun of(String why, boolean fault) {
      return new NotRun(why, fault ? Reason.FAULT : Reason.BUSY, "");
    }

    /**
     * Returns true if the refusal only told what the server has loaded. Nothing failed then, and
     * trying another server is no retry.
     */
    public boolean isAboutWeights() {
      return reason == Reason.LOADING || reason == Reason.OTHER_VERSION;
    }
  }

  /** The answer broke off, or it is not known whether the request ran. */
  record Broken(String why) implements CompletionOutcome {}

  /** The engine says that the run failed. */
  record Failed(String why) implements CompletionOutcome {}

  /** The deadline for the first token passed and the run was given up, as a run or before it. */
  record TooLate(boolean ran) implements CompletionOutcome {}
}
