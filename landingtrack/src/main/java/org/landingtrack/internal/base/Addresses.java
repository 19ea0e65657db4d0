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
import java.util.regex.Pattern;

/** Parses network addresses of the form {@code host:port}, as in settings and messages. */
public final class Addresses {
  private static final int MAX_PORT = 65_535;

  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";

  /** An IPv4 address, or an IPv6 address, which has a colon, and a port. */
  private static final Pattern NUMERIC =
      Pattern.compile(
          "((" + OCTET + "\\.){3}" + OCTET + "|\\[?[0-9a-fA-F.]*:[0-9a-fA-F:.]*]?):[0-9]{1,5}");

  private Addresses() {}

  /**
   * Returns true if {@link #parse} accepts an address without a look-up of its host: an IP address
   * and a port.
   */
  public static boolean isNumeric(String address) {
    if (!NUMERIC.matcher(address).matches()) {
      return false;
    }
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    return port <= MAX_PORT;
  }

  /**
   * Returns the socket address of {@code host:port}.
   *
   * @throws IllegalArgumentException if the text is not of that form; the message has the value
   */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException(
          "address must be host:port, for example 127.0.0.1:7200, but is: " + address);
    }
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
