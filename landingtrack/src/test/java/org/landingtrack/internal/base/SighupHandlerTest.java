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

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Checks the handler of SIGHUP by raising that signal in this process. */
public final class SighupHandlerTest {
  private static final long MAX_WAIT_S = 20;

  @Test
  public void runsTaskAtEachSignal() throws Exception {
    for (int i = 0; i < 2; i++) {
      CountDownLatch handled = new CountDownLatch(1);
      SighupHandler.install(handled::countDown);
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Object sighup = signalClass.getConstructor(String.class).newInstance("HUP");
      var unused = signalClass.getMethod("raise", signalClass).invoke(null, sighup);
      assertTrue(handled.await(MAX_WAIT_S, TimeUnit.SECONDS));
    }
  }
}
