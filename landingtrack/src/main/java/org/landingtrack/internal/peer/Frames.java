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
package org.landingtrack.internal.peer;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.landingtrack.internal.base.MessagePack;

/**
 * Reads and writes frames: a length of four bytes, big-endian, and then that many bytes of
 * MessagePack.
 */
final class Frames {
  static final int MAX_FRAME_BYTES = 32 << 20;
  static final ObjectMapper MAPPER = MessagePack.MAPPER;

  private Frames() {}

  /**
   * A message or an answer.
   *
   * @param type simple name of the message's record; {@code error} if the call failed
   * @param body the record as MessagePack; for an error its message in UTF-8
   */
  record Frame(String type, byte[] body) {}

  /**
   * Writes and flushes a frame.
   *
   * @throws IOException if the frame is longer than {@link #MAX_FRAME_BYTES}
   */
  static void write(DataOutputStream out, Frame frame) throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(frame);
    if (bytes.length > MAX_FRAME_BYTES) {
      throw new IOException("frame of " + bytes.length + " bytes exceeds the limit of 32 MiB");
    }
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }

  /**
   * Reads a frame.
   *
   * @throws IOException if the length is negative or above {@link #MAX_FRAME_BYTES}, or the content
   *     is not a frame
   */
  static Frame read(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new IOException("frame length of " + length + " bytes is not between 0 and 32 MiB");
    }
    return MAPPER.readValue(in.readNBytes(length), Frame.class);
  }
}
