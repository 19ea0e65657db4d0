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
package org.landingtrack.internal.overload;

/** Provides the load of a VM's services to admission control. */
public interface ServiceLoad {
  /** Returns the latency target of the service's most urgent requests, in milliseconds. */
  long targetMs(String service);

  /**
   * Returns the cost of this VM's queued requests of a rank that can still meet their latency
   * target, in the unit of {@link AdmissionRequest#size}.
   *
   * @param rank the rank; the last one includes all less urgent ones
   */
  long queuedSize(String service, int rank);

  /**
   * Returns the cost of this VM's queued requests that can no longer meet their latency target, in
   * the same unit.
   */
  long lateSize(String service);

  /**
   * Returns the share of the capacity of a service's servers that the requests of all VMs use; 1 or
   * more if none is left.
   */
  double utilization(String service);
}
