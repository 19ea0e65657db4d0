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
package org.landingtrack.internal.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.quarantine.Charge;
import org.landingtrack.internal.quarantine.Quarantine;
import org.landingtrack.internal.quarantine.SuspectKey;

/**
 * Looks up one request and the parts of its prompt in the {@link Quarantine}, which counts the
 * servers that crashed while they processed them, over all attempts at all VMs. The last part of a
 * prompt is not shared with other requests, so the request's own key stands for it. Used on the
 * event loop only.
 */
final class RequestQuarantine {
  private final CallerRequest request;
  private final Quarantine quarantine;
  private final Supplier<String> team;
  private @Nullable SuspectKey requestKey;
  private @Nullable List<SuspectKey> partKeys;

  /** Tells whether a request with a part of this prompt ended well at this VM earlier. */
  @FunctionalInterface
  interface ServedParts {
    boolean contains(String partKey);
  }

  /**
   * Creates the lookup for a request.
   *
   * @param team gives the name of its team; called only once the team is known
   */
  RequestQuarantine(CallerRequest request, Quarantine quarantine, Supplier<String> team) {
    this.request = request;
    this.quarantine = quarantine;
    this.team = team;
  }

  /** Returns the key of the request; retries of its caller have the same key. */
  SuspectKey requestKey() {
    SuspectKey known = requestKey;
    if (known == null) {
      known =
          SuspectKey.ofRequest(
              team.get(), request.method(), request.host(), request.target(), request.body());
      requestKey = known;
    }
    return known;
  }

  /** Returns the keys of all parts of the prompt but the last, in order. */
  private List<SuspectKey> partKeys() {
    List<SuspectKey> known = partKeys;
    if (known == null) {
      known = new ArrayList<>();
      for (Prompt.Part part : sharedParts()) {
        known.add(SuspectKey.ofPromptPart(modelName(), part.key()));
      }
      partKeys = known;
    }
    return known;
  }

  private List<Prompt.Part> sharedParts() {
    Prompt prompt = request.prompt();
    return prompt == null || prompt.parts().isEmpty()
        ? List.of()
        : prompt.parts().subList(0, prompt.parts().size() - 1);
  }

  private String modelName() {
    Prompt prompt = request.prompt();
    return prompt == null ? "" : prompt.model();
  }

  /** Returns those keys of the request that may be suspects; computes no others. */
  private List<SuspectKey> keysToLookUp() {
    List<SuspectKey> keys = new ArrayList<>();
    if (quarantine.mayContain(request.body().length)) {
      keys.add(requestKey());
    }
    if (quarantine.mayContainPromptParts()) {
      keys.addAll(partKeys());
    }
    return keys;
  }

  private @Nullable SuspectKey quarantinedKey() {
    for (SuspectKey key : keysToLookUp()) {
      if (quarantine.isQuarantined(key)) {
        return key;
      }
    }
    return null;
  }

  /** Returns what a crash of the request's server counts against. */
  List<Charge> charges(ServedParts served) {
    List<Charge> charges = new ArrayList<>();
    charges.add(Charge.ofRequest(requestKey()));
    List<Prompt.Part> parts = sharedParts();
    for (int i = 0; i < parts.size(); i++) {
      charges.add(new Charge(partKeys().get(i), i, served.contains(parts.get(i).key())));
    }
    return charges;
  }

  /** Returns true if the request or a part of its prompt is quarantined. */
  boolean isQuarantined() {
    return quarantinedKey() != null;
  }

  /** Returns true if one more server crash would not yet quarantine the request or a part. */
  boolean allowsOneMoreCrash() {
    for (SuspectKey key : keysToLookUp()) {
      if (quarantine.isNearLimit(key)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns true if the key is that of the request or of a part of its prompt. Hashes the body only
   * if its length matches.
   */
  boolean matches(SuspectKey other) {
    if (other.isPromptPart()) {
      return partKeys().contains(other);
    }
    return request.body().length == other.bodyBytes() && requestKey().equals(other);
  }

  /** Records that a server answered the request, and ended the answer well. */
  void recordSuccess() {
    quarantine.recordSuccess(keysToLookUp());
  }

  /** Returns how much longer the request is quarantined, in milliseconds. */
  long leftMs() {
    SuspectKey key = quarantinedKey();
    return key == null ? 0 : quarantine.remainingMs(key);
  }

  /** Returns the reason for the quarantine, for the log and the caller. */
  String why() {
    SuspectKey key = quarantinedKey();
    if (key == null) {
      return "the request is no longer quarantined";
    }
    int part = partKeys().indexOf(key);
    String what =
        part < 0
            ? "this request, digest " + key.hex()
            : "requests with prompt part "
                + sharedParts().get(part).key()
                + ", digest "
                + key.hex();
    return quarantine.crashCount(key) + " servers crashed while processing " + what;
  }
}
