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

/**
 * An object of the Object API.
 *
 * @param version number of changes of this object, from 1
 * @param revision position of the last change among all changes of the Object API
 * @param value the content, at most 1 MB; empty in the answer of a watch if the object was removed
 */
public record StoredObject(String key, long version, long revision, String value) {
  /** Beginning of the value of an object whose content was rejected as it was read. */
  private static final String REJECTION_PREFIX = "\"rejected: ";

  /** Returns the value of an object whose content was rejected: a JSON text with the reason. */
  public static String rejection(String reason) {
    return REJECTION_PREFIX + reason.replace('\\', '/').replace('"', '\'') + '"';
  }

  /** Returns true if the content was rejected as it was read, so that it has no meaning. */
  public boolean isRejected() {
    return value.startsWith(REJECTION_PREFIX);
  }

  /** Returns this object as a watch reports its removal: without a value. */
  public StoredObject removed() {
    return new StoredObject(key, version, revision, "");
  }

  /** Returns true if this is the report of a removal. */
  public boolean isRemoved() {
    return value.isEmpty();
  }

  /** Returns the part of the key after the first slash. */
  public String name() {
    return key.substring(key.indexOf('/') + 1);
  }
}
