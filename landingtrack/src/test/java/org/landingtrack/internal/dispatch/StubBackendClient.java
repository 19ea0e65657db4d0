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
package org.landingtrack.internal.dispatch;

import org.landingtrack.internal.engine.BackendClient;
import org.landingtrack.internal.engine.CompletionCall;
import org.landingtrack.internal.engine.CompletionOutcome;
import org.landingtrack.internal.engine.KvCacheImport;
import org.landingtrack.internal.engine.PlainCall;
import org.landingtrack.internal.engine.PlainOutcome;
import org.landingtrack.internal.engine.TokenSink;

/**
 * A backend client whose calls are unsupported or have no effect; tests override the calls that
 * they expect.
 */
abstract class StubBackendClient implements BackendClient {
  @Override
  public CompletionOutcome resume(String address, CompletionCall call, int from, TokenSink sink) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CancelResult cancel(String address, String attempt) {
    return CancelResult.UNKNOWN;
  }

  @Override
  public long importKvCache(String address, KvCacheImport order) {
    return 0;
  }

  @Override
  public PlainOutcome plain(String address, PlainCall call) {
    throw new UnsupportedOperationException();
  }
}
