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
package org.landingtrack;

/**
 * States what is known about whether a request ran on a backend server.
 *
 * @since 0.1
 */
public enum RunState {
  /** No byte of the request reached a backend server, or it rejected the request before running. */
  NOT_RUN("not-run"),
  /** The request ran, at least in part. */
  RAN("ran"),
  /** The request may have run; nothing observed shows whether it did. */
  UNKNOWN("unknown");

  private final String label;

  RunState(String label) {
    this.label = label;
  }

  /** Returns the text used in answers, for example {@code not-run}. */
  public String label() {
    return label;
  }
}
