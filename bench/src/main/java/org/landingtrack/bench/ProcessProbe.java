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

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Reads the readiness and metrics of processes over HTTP, within 2 s per call. Thread-safe. */
final class ProcessProbe {
  private static final int CALL_TIMEOUT_S = 2;
  private static final String METRIC_PREFIX = "landingtrack_";

  private final OkHttpClient http =
      new OkHttpClient.Builder().callTimeout(CALL_TIMEOUT_S, TimeUnit.SECONDS).build();

  boolean isOk(String url) {
    try (Response response = get(url)) {
      return response.isSuccessful();
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Returns a metric, given with its labels and without the prefix {@code landingtrack_}; -1 if the
   * process does not answer or has no such metric.
   */
  double metric(String url, String name) {
    try (Response response = get(url + "/metrics")) {
      for (String line : response.body().string().split("\n", -1)) {
        if (line.startsWith(METRIC_PREFIX + name + " ")) {
          return Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
        }
      }
    } catch (IOException e) {
      // A process that does not answer is reported as -1.
    }
    return -1;
  }

  private Response get(String url) throws IOException {
    return http.newCall(new Request.Builder().url(url).build()).execute();
  }
}
