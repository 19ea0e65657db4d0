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
package org.landingtrack.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.claim.ClaimShard.ClaimResult;
import org.landingtrack.internal.claim.ClaimShard.Outcome;
import org.landingtrack.internal.claim.ClaimShards;
import org.landingtrack.internal.platform.HttpObjectApi;
import org.landingtrack.standins.ObjectApiServer;

/**
 * Measures rate and latency of request key claims with group commit, against an Object API that
 * accepts 100 writes a second.
 */
final class ClaimsCommand {
  private static final int[] CALLER_COUNTS = {1, 16, 64, 256};
  private static final double READS_PER_SECOND = 1_000;
  private static final double WRITES_PER_SECOND = 90;

  private ClaimsCommand() {}

  static int run(CommandLine line) throws InterruptedException {
    int seconds = Integer.parseInt(line.getOptionValue("seconds", "5"));
    for (int callers : CALLER_COUNTS) {
      System.out.println(measure(callers, seconds));
    }
    return 0;
  }

  private static ObjectNode measure(int callers, int seconds) throws InterruptedException {
    try (ObjectApiServer server = new ObjectApiServer(0);
        ClaimShards shards =
            new ClaimShards(
                new HttpObjectApi(server.url(), Ticker.SYSTEM, READS_PER_SECOND, WRITES_PER_SECOND),
                System::currentTimeMillis)) {
      server.faults().set("slowMs", 5);
      Histogram latency = new ConcurrentHistogram(3);
      AtomicLong claimed = new AtomicLong();
      AtomicLong unavailable = new AtomicLong();
      AtomicLong keyNumber = new AtomicLong();
      long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
      ExecutorService executor = Executors.newFixedThreadPool(callers);
      List<Runnable> tasks = new ArrayList<>();
      for (int i = 0; i < callers; i++) {
        tasks.add(
            () -> {
              while (System.nanoTime() < endNs) {
                String key = Hashes.sha256Hex("k" + keyNumber.incrementAndGet()).substring(0, 32);
                long startNs = System.nanoTime();
                ClaimResult verdict = shards.claim(key, "vm." + key).join();
                latency.recordValue(Math.max(1, (System.nanoTime() - startNs) / 1_000));
                (verdict.outcome() == Outcome.CLAIMED ? claimed : unavailable).incrementAndGet();
              }
            });
      }
      tasks.forEach(executor::execute);
      executor.shutdown();
      if (!executor.awaitTermination(seconds + 30L, TimeUnit.SECONDS)) {
        throw new IllegalStateException(
            "claims are still running 30 s after the end of the measurement");
      }
      ObjectNode result = Json.LENIENT.createObjectNode();
      result.put("callers_at_once", callers).put("claims_per_second", claimed.get() / seconds);
      result.put("refused", unavailable.get());
      result.put("p50_ms", latency.getValueAtPercentile(50) / 1e3);
      result.put("p95_ms", latency.getValueAtPercentile(95) / 1e3);
      result.put("platform_writes_per_second", server.callCounts()[1] / seconds);
      return result;
    }
  }
}
