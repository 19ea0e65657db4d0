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
package org.landingtrack.internal.base;

import java.net.InetSocketAddress;

/** Addresses as settings and messages write them. */
public final class Addresses {
  private Addresses() {}

  /** Splits {@code host:port}; throws {@link IllegalArgumentException} naming a bad value. */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("not an address such as 127.0.0.1:7200: " + address);
    }
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
