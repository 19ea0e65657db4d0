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
package org.landingtrack.internal.protection;

/**
 * Resources of a VM and the limits that are derived from them. A resource that the settings lack is
 * 0 and limits nothing.
 *
 * @param cpuHundredths processor capacity in hundredths of a core
 * @param memoryMb memory of the VM; a process that uses more is killed
 * @param fileDescriptors limit of file descriptors of the process
 * @param linkMbps bandwidth of the VM's network link
 */
public record VmLimits(int cpuHundredths, int memoryMb, int fileDescriptors, double linkMbps) {
  /**
   * The limit is the heap divided by this: held bytes are only one use of the heap, and are copied
   * when they are written.
   */
  private static final int HEAP_DIVISOR = 4;

  /**
   * The limit is the memory divided by this; the rest is for the runtime, the operating system and
   * bytes that are not read yet.
   */
  private static final int MEMORY_DIVISOR = 8;

  /**
   * Callers wait about ten seconds at most. Bytes that the link cannot send within this time would
   * arrive after their callers have left.
   */
  private static final double MAX_LINK_SECONDS = 10;

  /** The largest request body that a configuration may allow has to fit. */
  private static final long MIN_HELD_BYTES = 4 << 20;

  /** Descriptors that are reserved for files. */
  private static final int RESERVED_DESCRIPTORS = 200;

  private static final double CONNECTIONS_SHARE = 0.9;
  private static final double BYTES_PER_MBIT = 125_000;
  private static final long BYTES_PER_MB = 1 << 20;

  /** Returns the largest number of bytes that this VM may hold for callers and servers together. */
  public long maxHeldBytes(long heapBytes) {
    long bound = heapBytes / HEAP_DIVISOR;
    if (memoryMb > 0) {
      bound = Math.min(bound, memoryMb * BYTES_PER_MB / MEMORY_DIVISOR);
    }
    if (linkMbps > 0) {
      bound = Math.min(bound, (long) (linkMbps * BYTES_PER_MBIT * MAX_LINK_SECONDS));
    }
    return Math.max(MIN_HELD_BYTES, bound);
  }

  /** Returns the largest number of connections, from callers and to servers together. */
  public int maxConnections() {
    if (fileDescriptors == 0) {
      return Integer.MAX_VALUE;
    }
    return (int) Math.max(1, CONNECTIONS_SHARE * (fileDescriptors - RESERVED_DESCRIPTORS));
  }
}
