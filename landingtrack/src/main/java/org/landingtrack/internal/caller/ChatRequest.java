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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Json;

/**
 * The fields of a chat/completions request that landingtrack uses. Other keys are ignored, as is
 * usual for this interface.
 *
 * @param model name of the service
 * @param messages the messages as received, passed on to the engine unchanged
 * @param prompt all messages as one text, from which the keys for prefix matching are made
 */
record ChatRequest(String model, JsonNode messages, String prompt, int maxTokens, boolean stream) {
  private static final int DEFAULT_MAX_TOKENS = 256;
  private static final int MAX_TOKENS_LIMIT = 1_000_000;
  private static final int MAX_MESSAGES = 10_000;

  /** Parses a request body; throws {@code BAD_REQUEST} naming the field that is not valid. */
  static ChatRequest parse(byte[] body) {
    JsonNode root = parseJson(body);
    if (!root.isObject()) {
      throw badRequest("the body must be a JSON object");
    }
    JsonNode model = root.path("model");
    if (!model.isTextual() || model.asText().isEmpty()) {
      throw badRequest("'model' must name a service");
    }
    JsonNode stream = root.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw badRequest("'stream' must be true or false");
    }
    JsonNode messages = root.path("messages");
    return new ChatRequest(
        model.asText(), messages, prompt(messages), maxTokens(root), stream.asBoolean(false));
  }

  private static JsonNode parseJson(byte[] body) {
    try {
      JsonNode root = Json.STRICT.readTree(body);
      if (root == null) {
        throw badRequest("the body is empty");
      }
      return root;
    } catch (JsonProcessingException e) {
      throw new LandingtrackException(
          ErrorKind.BAD_REQUEST,
          "the body is not JSON (line " + e.getLocation().getLineNr() + ")",
          e);
    } catch (IOException e) {
      throw new LandingtrackException(ErrorKind.BAD_REQUEST, "the body cannot be read", e);
    }
  }

  private static int maxTokens(JsonNode root) {
    JsonNode node = root.path("max_tokens");
    if (node.isMissingNode()) {
      return DEFAULT_MAX_TOKENS;
    }
    if (!node.isInt() || node.asInt() < 1 || node.asInt() > MAX_TOKENS_LIMIT) {
      throw badRequest("'max_tokens' must be a whole number from 1 to " + MAX_TOKENS_LIMIT);
    }
    return node.asInt();
  }

  private static String prompt(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty() || messages.size() > MAX_MESSAGES) {
      throw badRequest("'messages' must be a list of 1 to " + MAX_MESSAGES + " messages");
    }
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
        throw badRequest("each message needs a text 'role' and a text 'content'");
      }
      prompt.append('<').append(message.path("role").asText()).append('>');
      prompt.append(message.path("content").asText()).append('\n');
    }
    return prompt.toString();
  }

  private static LandingtrackException badRequest(String message) {
    return new LandingtrackException(ErrorKind.BAD_REQUEST, message);
  }
}
