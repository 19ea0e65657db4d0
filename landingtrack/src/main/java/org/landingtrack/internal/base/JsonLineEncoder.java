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
package org.landingtrack.internal.base;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/** Encodes each log event as one line of JSON, with its key-value pairs as fields. */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
  private static final JsonFactory FACTORY = new JsonFactory();

  @Override
  public byte[] headerBytes() {
    return new byte[0];
  }

  @Override
  public byte[] footerBytes() {
    return new byte[0];
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    try (JsonGenerator json = FACTORY.createGenerator(out)) {
      json.writeStartObject();
      json.writeStringField("time", Instant.ofEpochMilli(event.getTimeStamp()).toString());
      json.writeStringField("level", event.getLevel().toString());
      json.writeStringField("part", event.getLoggerName());
      json.writeStringField("event", event.getFormattedMessage());
      List<KeyValuePair> pairs = event.getKeyValuePairs();
      if (pairs != null) {
        for (KeyValuePair pair : pairs) {
          write(json, pair.key, pair.value);
        }
      }
      IThrowableProxy thrown = event.getThrowableProxy();
      if (thrown != null) {
        json.writeStringField("error", thrown.getClassName() + ": " + thrown.getMessage());
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    out.write('\n');
    return out.toByteArray();
  }

  private static void write(JsonGenerator json, String key, Object value) throws IOException {
    if (value instanceof Long || value instanceof Integer) {
      json.writeNumberField(key, ((Number) value).longValue());
    } else if (value instanceof Double number) {
      json.writeNumberField(key, number);
    } else if (value instanceof Boolean flag) {
      json.writeBooleanField(key, flag);
    } else {
      json.writeStringField(key, String.valueOf(value));
    }
  }
}
