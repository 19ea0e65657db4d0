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

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Runs a task on SIGHUP, which ends a JVM by default. The JDK's class for signals is not part of
 * its public API, so it is called by reflection.
 */
public final class SighupHandler {
  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

  private SighupHandler() {}

  /** Runs the task at each SIGHUP from now on, on a thread of its own. Replaces an earlier task. */
  public static void install(Runnable task) {
    try {
      Class<?> signalClass = Class.forName(SIGNAL_CLASS);
      Class<?> handlerClass = Class.forName(HANDLER_CLASS);
      Object proxy =
          Proxy.newProxyInstance(
              SighupHandler.class.getClassLoader(),
              new Class<?>[] {handlerClass},
              (self, method, args) -> invokeProxy(self, method, args, task));
      Object sighup = signalClass.getConstructor(String.class).newInstance("HUP");
      Method handle = signalClass.getMethod("handle", signalClass, handlerClass);
      var unused = handle.invoke(null, sighup, proxy);
    } catch (ClassNotFoundException
        | NoSuchMethodException
        | InstantiationException
        | IllegalAccessException
        | InvocationTargetException e) {
      throw new IllegalStateException("this JVM does not support handlers of SIGHUP", e);
    }
  }

  private static Object invokeProxy(Object self, Method method, Object[] args, Runnable task) {
    return switch (method.getName()) {
      case "handle" -> {
        task.run();
        yield true;
      }
      case "equals" -> self == args[0];
      case "hashCode" -> System.identityHashCode(self);
      default -> "SIGHUP handler";
    };
  }
}
