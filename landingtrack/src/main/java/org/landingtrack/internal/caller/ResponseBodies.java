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
package org.landingtrack.internal.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.dispatch.DispatchReport;

/** Builds the JSON bodies of answers to callers. */
final class ResponseBodies {
  private ResponseBodies() {}

  /** Returns the body of an error answer: its kind, whether the request ran, when to retry. */
  static ObjectNode error(String requestId, LandingtrackException e) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    ObjectNode error = body.putObject("error");
    error.put("kind", e.kind().name());
    error.put("message", e.getMessage());
    error.put("ran", e.kind().runState().label());
    error.put("request_id", requestId);
    if (e.retryAfterSeconds() > 0) {
      error.put("retry_after_s", e.retryAfterSeconds());
    }
    return body;
  }

  /** Returns one chunk of a streamed answer. */
  static ObjectNode chunk(String requestId, String model, String text) {
    ObjectNode body = newBody(requestId, "chat.completion.chunk", model);
    ObjectNode choice = addChoice(body);
    choice.putObject("delta").put("content", text);
    choice.putNull("finish_reason");
    return body;
  }

  /** Returns the last chunk, which has the usage, the backend server and the attempts. */
  static ObjectNode lastChunk(String requestId, String model, DispatchReport report) {
    ObjectNode body = newBody(requestId, "chat.completion.chunk", model);
    ObjectNode choice = addChoice(body);
    choice.putObject("delta");
    choice.put("finish_reason", "stop");
    addReport(body, report);
    return body;
  }

  /** Returns the body of an answer that is not streamed. */
  static ObjectNode completion(String requestId, String model, String text, DispatchReport report) {
    ObjectNode body = newBody(requestId, "chat.completion", model);
    ObjectNode choice = addChoice(body);
    choice.putObject("message").put("role", "assistant").put("content", text);
    choice.put("finish_reason", "stop");
    addReport(body, report);
    return body;
  }

  private static ObjectNode newBody(String requestId, String object, String model) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    return body.put("id", requestId).put("object", object).put("model", model);
  }

  private static ObjectNode addChoice(ObjectNode body) {
    return body.putArray("choices").addObject().put("index", 0);
  }

  private static void addReport(ObjectNode body, DispatchReport report) {
    ObjectNode usage = body.putObject("usage");
    usage.put("prompt_tokens", report.usage().promptTokens());
    usage.put("completion_tokens", report.usage().completionTokens());
    usage.put("total_tokens", report.usage().promptTokens() + report.usage().completionTokens());
    usage.putObject("prompt_tokens_details").put("cached_tokens", report.usage().cachedTokens());
    ObjectNode extension = body.putObject("landingtrack");
    extension.put("backend_server", report.server());
    extension.put("weight_version", report.weightVersion());
    extension.put("ttft_ms", report.ttftMs());
    extension.put("attempts", report.attempts());
  }
}
