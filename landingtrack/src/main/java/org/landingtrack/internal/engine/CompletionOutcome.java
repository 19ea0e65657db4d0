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

/** How an attempt to run a completion ended. */
public sealed interface CompletionOutcome {
  /** The answer is complete, with its end mark. */
  record Whole(Usage usage) implements CompletionOutcome {}

  /**
   * It is certain that the server ran nothing, so a retry is safe.
   *
   * @param currentWeightVersion version of the weights that the server has loaded instead; empty
   *     unless the reason is {@link Reason#OTHER_VERSION}
   */
  record NotRun(String detail, Reason reason, String currentWeightVersion)
      implements CompletionOutcome {
    /** Why a server did not run a request. */
    public enum Reason {
      /** It has no free capacity now. */
      BUSY,
      /** It is loading weights and will accept requests again without intervention. */
      LOADING,
      /** It is leaving: it shuts down and accepts no new requests. */
      LEAVING,
      /** It has loaded another version of the weights. */
      OTHER_VERSION,
      /**
       * It looks broken: it could not be reached, or refused for a reason that is none of these.
       */
      FAULT
    }

    /** Returns an outcome with reason {@link Reason#FAULT} or {@link Reason#BUSY}. */
    public static NotRun of(String detail, boolean isFault) {
      return new NotRun(detail, isFault ? Reason.FAULT : Reason.BUSY, "");
    }

    /**
     * Returns true if the server refused only because of the weights that it has loaded. Nothing
     * failed then, and an attempt at another server does not count as a retry.
     */
    public boolean isWeightRefusal() {
      return reason == Reason.LOADING || reason == Reason.OTHER_VERSION;
    }
  }

  /** In doubt: the answer is incomplete, or it is not known whether the request ran. */
  record Broken(String detail) implements CompletionOutcome {}

  /**
   * The run failed: the engine reported an error in the stream, or answered with an error status
   * and did not say that nothing ran.
   */
  record Failed(String detail) implements CompletionOutcome {}

  /**
   * The deadline of the first token passed and the attempt was cancelled.
   *
   * @param ran false only if it is certain that the server had not started the request
   */
  record TooLate(boolean ran) implements CompletionOutcome {}
}
