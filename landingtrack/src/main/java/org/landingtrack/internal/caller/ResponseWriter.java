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

import org.landingtrack.internal.dispatch.DispatchReport;
import org.landingtrack.internal.engine.TokenSink;
import org.landingtrack.internal.routing.LoadReport;

/**
 * Sends the answer of a model to its caller, token by token or in one piece. Used by one thread.
 */
interface ResponseWriter extends TokenSink {
  /** Completes the answer with its usage and how it came about. Not called if the request fails. */
  void finish(DispatchReport report);

  @Override
  default void load(LoadReport report) {}
}
