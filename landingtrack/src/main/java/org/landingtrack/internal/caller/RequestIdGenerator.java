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
package org.landingtrack.internal.caller;

import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Generates request ids of the form {@code <vm>.<random>}, so that an id names the VM that received
 * the request. Thread-safe.
 */
public final class RequestIdGenerator {
  private static final int RANDOM_BYTES = 9;

  private final String vm;
  private final SecureRandom random = new SecureRandom();

  public RequestIdGenerator(String vm) {
    this.vm = vm;
  }

  /** Returns a new id. */
  public String next() {
    byte[] bytes = new byte[RANDOM_BYTES];
    random.nextBytes(bytes);
    return vm + "." + HexFormat.of().formatHex(bytes);
  }

  /** Returns the VM that an id names; empty if the id does not have that form. */
  public static String vmOf(String requestId) {
    int dot = requestId.indexOf('.');
    return dot < 0 ? "" : requestId.substring(0, dot);
  }
}
