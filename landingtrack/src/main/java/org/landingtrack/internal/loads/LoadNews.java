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
package org.landingtrack.internal.loads;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What one VM tells others, as MessagePack without names.
 *
 * @param sender the address at which it hears news
 * @param sequence rises with each of the sender's messages
 * @param peers addresses of VMs that it heard of lately
 * @param loads what it has under way, for servers where that is anything
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadNews(String sender, long sequence, List<String> peers, List<Load> loads) {
  public LoadNews {
    peers = List.copyOf(peers);
    loads = List.copyOf(loads);
  }

  /**
   * The requests of one VM at one server.
   *
   * @param server hash of the id of the server's start
   * @param pendingTokens prompt tokens that the server has yet to read
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Load(long server, long pendingTokens, int running) {}
}
