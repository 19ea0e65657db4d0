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
package org.landingtrack.internal.engine;

/**
 * One attempt to call a plain HTTP service.
 *
 * @param target path and query, starting with a slash
 * @param contentType media type of the body; empty if there is none
 * @param timeoutMs limit on the time of the whole call
 * @param maxAnswerBytes limit on the body of the answer; a longer one makes the outcome unknown
 */
public record PlainCall(
    String requestId,
    String method,
    String target,
    String contentType,
    byte[] body,
    long timeoutMs,
    int maxAnswerBytes) {}
