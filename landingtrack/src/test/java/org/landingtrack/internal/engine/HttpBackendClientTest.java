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

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.routing.LoadReport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks the outcome that {@link HttpBackendClient} reports for each point at which a connection
 * can fail, over real sockets. A wrong outcome would run a request twice, or lose it without a
 * retry.
 */
public final class HttpBackendClientTest {
  private static final String OK_HEADERS =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  private static final String TOKEN_0 = chunk("a-1", 0);
  private static final String TOKEN_1 = chunk("a-1", 1);
  private static final String USAGE =
      "data: {\"attempt\":\"a-1\",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n";
  private static final String DONE = "data: [DONE]\n\n";

  private static String chunk(String attempt, int offset) {
    return "data: {\"attempt\":\""
        + attempt
        + "\",\"offset\":"
        + offset
        + ",\"choices\":[{\"delta\":{\"content\":\"t"
        + offset
        + "\"}}]}\n\n";
  }

  /** What a fake server does with a connection. */
  private enum ServerBehavior {
    /** No port is open. */
    ABSENT,
    /** Closes without reading. */
    CLOSES_AT_ONCE,
    /** Resets the connection after the request's headers. */
    RESETS_AFTER_HEAD,
    /** Reads the request and closes without an answer. */
    CLOSES_AFTER_REQUEST,
    /** Reads the request and never answers. */
    SILENT,
    /** Sends the answer of the test case, then closes. */
    ANSWERS
  }

  @DataProvider
  public Object[][] failurePoints() {
    return new Object[][] {
      {"no port", ServerBehavior.ABSENT, "", "NotRun", 0},
      {"closed at once", ServerBehavior.CLOSES_AT_ONCE, "", "Broken", 0},
      {"reset after the headers", ServerBehavior.RESETS_AFTER_HEAD, "", "Broken", 0},
      {"closed after the request", ServerBehavior.CLOSES_AFTER_REQUEST, "", "Broken", 0},
      {"silent until the deadline", ServerBehavior.SILENT, "", "TooLate", 0},
      {
        "busy, with the header for not run",
        ServerBehavior.ANSWERS,
        status("503 Busy", "X-Not-Run: true"),
        "NotRun",
        0
      },
      {
        "loading weights",
        ServerBehavior.ANSWERS,
        status("503 Busy", "X-Not-Run: true\r\nX-Loading: true"),
        "NotRun",
        0
      },
      {"too many", ServerBehavior.ANSWERS, status("429 Too Many", "X-A: b"), "NotRun", 0},
      {
        "busy, without the header for not run",
        ServerBehavior.ANSWERS,
        status("503 Busy", "X-A: b"),
        "Failed",
        0
      },
      {"internal error", ServerBehavior.ANSWERS, status("500 Oops", "X-A: b"), "Failed", 0},
      {"half a status line", ServerBehavior.ANSWERS, "HTTP/1.", "Broken", 0},
      {"response headers only", ServerBehavior.ANSWERS, OK_HEADERS, "Broken", 0},
      {"one token, then cut", ServerBehavior.ANSWERS, OK_HEADERS + TOKEN_0, "Broken", 1},
      {
        "cut within a chunk",
        ServerBehavior.ANSWERS,
        OK_HEADERS + TOKEN_0 + TOKEN_1.substring(0, 30),
        "Broken",
        1
      },
      {"no end mark", ServerBehavior.ANSWERS, OK_HEADERS + TOKEN_0 + TOKEN_1 + USAGE, "Broken", 2},
      {"end mark without usage", ServerBehavior.ANSWERS, OK_HEADERS + TOKEN_0 + DONE, "Broken", 1},
      {
        "another attempt's chunk",
        ServerBehavior.ANSWERS,
        OK_HEADERS + TOKEN_0 + chunk("b-9", 1),
        "Broken",
        1
      },
      {
        "a missing token",
        ServerBehavior.ANSWERS,
        OK_HEADERS + TOKEN_0 + chunk("a-1", 2),
        "Broken",
        1
      },
      {
        "a repeated token",
        ServerBehavior.ANSWERS,
        OK_HEADERS + TOKEN_0 + TOKEN_0 + TOKEN_1 + USAGE + DONE,
        "Whole",
        2
      },
      {"whole", ServerBehavior.ANSWERS, OK_HEADERS + TOKEN_0 + TOKEN_1 + USAGE + DONE, "Whole", 2},
    };
  }

  private static String status(String line, String header) {
    return "HTTP/1.1 "
        + line
        + "\r\n"
        + header
        + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  }

  @Test(dataProvider = "failurePoints")
  public void reportsOutcomeOfEachFailurePoint(
      String name, ServerBehavior server, String answer, String outcome, int tokens)
      throws Exception {
    List<String> received = new ArrayList<>();
    TokenSink sink =
        new TokenSink() {
          @Override
          public void token(int offset, String text) {
            received.add(text);
          }

          @Override
          public void load(LoadReport report) {}
        };
    try (ServerSocket socket = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
      AtomicBoolean stop = new AtomicBoolean();
      Thread thread = new Thread(() -> serve(socket, server, answer, stop));
      thread.setDaemon(true);
      int port = socket.getLocalPort();
      if (server == ServerBehavior.ABSENT) {
        socket.close();
      } else {
        thread.start();
      }
      long deadlineMs = server == ServerBehavior.SILENT ? 300 : 60_000;
      CompletionCall call =
          new CompletionCall(
              "a-1",
              "m",
              Json.LENIENT.createArrayNode(),
              2,
              "v",
              List.of(),
              0,
              0,
              Ticker.SYSTEM.millis() + deadlineMs,
              20_000);
      CompletionOutcome actual =
          new HttpBackendClient(Ticker.SYSTEM).complete("127.0.0.1:" + port, call, sink);
      stop.set(true);
      assertEquals(actual.getClass().getSimpleName(), outcome, name + ": " + actual);
      assertEquals(received.size(), tokens, name);
    }
  }

  private static void serve(
      ServerSocket listener, ServerBehavior server, String answer, AtomicBoolean stop) {
    while (!stop.get()) {
      try (Socket socket = listener.accept()) {
        if (server == ServerBehavior.CLOSES_AT_ONCE) {
          continue;
        }
        InputStream in = socket.getInputStream();
        if (server == ServerBehavior.RESETS_AFTER_HEAD) {
          readUntil(in, "\r\n\r\n");
          socket.setSoLinger(true, 0);
          continue;
        }
        readUntil(in, "[]}}");
        if (server == ServerBehavior.SILENT) {
          readUntil(in, "never");
          continue;
        }
        if (server == ServerBehavior.ANSWERS) {
          socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
          socket.getOutputStream().flush();
        }
      } catch (IOException e) {
        if (listener.isClosed()) {
          return;
        }
      }
    }
  }

  private static void readUntil(InputStream in, String mark) throws IOException {
    StringBuilder seen = new StringBuilder();
    int b = in.read();
    while (b >= 0) {
      seen.append((char) b);
      if (seen.toString().endsWith(mark)) {
        return;
      }
      b = in.read();
    }
  }
}
