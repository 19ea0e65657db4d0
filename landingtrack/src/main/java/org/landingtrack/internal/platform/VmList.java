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
package org.landingtrack.internal.platform;

import java.util.List;

/** The platform's list of VMs. The list may be out of date, and reading it may fail. */
@FunctionalInterface
public interface VmList {
  /** Returns the listed VMs; throws {@link PlatformException} if there is no answer. */
  List<Vm> vms();

  /**
   * A VM in the list.
   *
   * @param role {@code entry} for VMs of this system, {@code backend-server} for backend servers
   * @param address the controller's peer address of an entry VM, or the backend server's address
   * @param leaving true if the VM was told to stop
   */
  record Vm(
      String name,
      String role,
      String dataCentre,
      String region,
      String address,
      boolean leaving) {}
}
