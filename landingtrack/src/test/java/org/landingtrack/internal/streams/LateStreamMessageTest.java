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
package org.landingtrack.internal.streams;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.streams.OriginVms.OriginVm;
import org.landingtrack.internal.streams.StreamMessage.HistoryReply;
import org.landingtrack.internal.streams.StreamMessage.OriginReply;
import org.testng.annotations.Test;

/** Tests that replies about streams are taken for what they answer. */
public final class LateStreamMessageTest {
  private static final StreamOrigin V2 = new StreamOrigin(OriginVms.SERVICE, "v2");
  private static final StreamKey KEY = StreamKey.of("team", "request");

  @Test
  public void lateRepliesToAnEarlierSearchDoNotEndALaterOne() throws Exception {
    OriginVms fleet = new OriginVms(3, 0, 1);
    fleet.gossip();
    fleet.list("v1", "v2");
    OriginVm asking = fleet.vms.get(0);
    fleet.vms.get(1).isCut = true;
    fleet.vms.get(2).isCut = true;
    assertNull(asking.find(KEY));
    fleet.vms.get(1).isCut = false;
    fleet.vms.get(2).isCut = false;
    fleet.vms.get(1).origins.recordStart(KEY, V2);
    List<@Nullable StreamOrigin> found = new ArrayList<>();
    asking.isCut = true;
    fleet.loop.advance(10);
    asking.isCut = false;
    asking.origins.find(KEY, OriginVms.SERVICE, result -> found.add(result.origin()));
    for (OriginVm replies : fleet.vms.subList(1, 3)) {
      byte[] late = StreamMessageCodec.encode(new OriginReply(replies.peers.address(), KEY, null));
      asking.origins.decode(late, late.length).run();
    }
    fleet.loop.advance(StreamOrigins.SEARCH_TIMEOUT_MS);
    assertEquals(found, List.of(V2));
  }

  @Test
  public void historyOfAVmWithoutCurrentDataIsNotTakenOver() {
    OriginVms fleet = new OriginVms(2, 0, 1);
    fleet.gossip();
    fleet.list("v1");
    fleet.vms.get(0).origins.recordStart(KEY, new StreamOrigin(OriginVms.SERVICE, "v1"));
    fleet.vms.get(0).hasEnded = true;
    fleet.vms.get(1).isCurrent = false;
    OriginVm started = fleet.add();
    started.start();
    fleet.list(started, "v2");
    fleet.gossip();
    fleet.loop.advance(StreamOrigins.HISTORY_QUERY_INTERVAL_MS * 3);
    assertNull(started.find(StreamKey.of("team", "not announced")));
  }

  @Test
  public void historyThatWasToldBeforeAGapIsNotTakenOver() throws Exception {
    OriginVms fleet = new OriginVms(2, 0, 1);
    fleet.gossip();
    fleet.list("v1");
    OriginVm started = fleet.add();
    started.start();
    fleet.list(started, "v1");
    long queryId = fleet.loop.millis();
    fleet.gossip();
    started.versions.restartHistory();
    fleet.vms.forEach(vm -> vm.isCut = true);
    HistoryReply late =
        new HistoryReply(ServiceVersions.RETENTION_MS, List.of(), List.of(), queryId);
    byte[] bytes = StreamMessageCodec.encode(late);
    started.origins.decode(bytes, bytes.length).run();
    assertNull(started.find(KEY));
  }
}
