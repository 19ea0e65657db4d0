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

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.platform.PlatformException.Reason;

/** Reads the platform's VM list over HTTP. Thread-safe. */
public final class HttpVmList implements VmList {
  private static final long TIMEOUT_MS = 2_000;

  private final String url;
  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).build();

  public HttpVmList(String url) {
    this.url = url;
  }

  @Override
  public List<Vm> vms() {
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      if (!response.isSuccessful()) {
        throw new PlatformException(
            Reason.UNAVAILABLE, "the VM list answered with status " + response.code());
      }
      List<Vm> vms = new ArrayList<>();
      for (JsonNode node : Json.LENIENT.readTree(response.body().string()).path("vms")) {
        vms.add(
            new Vm(
                node.path("name").asText(),
                node.path("role").asText(),
                node.path("data_centre").asText(),
                node.path("region").asText(),
                node.path("address").asText(),
                node.path("state").asText().equals("leaving")));
      }
      return vms;
    } catch (IOException e) {
      throw new PlatformException(Reason.UNAVAILABLE, "the VM list did not answer: " + e);
    }
  }
}
