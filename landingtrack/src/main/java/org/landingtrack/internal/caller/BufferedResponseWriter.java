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

import io.javalin.http.Context;
import org.landingtrack.internal.dispatch.DispatchReport;

/** Buffers the tokens and sends the answer as one JSON body when it is complete. */
final class BufferedResponseWriter implements ResponseWriter {
  private final Context ctx;
  private final String requestId;
  private final String model;
  private final StringBuilder text = new StringBuilder();

  BufferedResponseWriter(Context ctx, String requestId, String model) {
    this.ctx = ctx;
    this.requestId = requestId;
    this.model = model;
  }

  @Override
  public void token(int offset, String token) {
    text.append(token);
  }

  @Override
  public void finish(DispatchReport report) {
    ctx.contentType("application/json");
    ctx.result(ResponseBodies.completion(requestId, model, text.toString(), report).toString());
  }
}
