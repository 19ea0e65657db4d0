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
package org.landingtrack.internal.serving;

import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.serving.AttemptPlanner.AttemptPlan;
import org.landingtrack.internal.serving.BackendTransport.BackendCall;
import org.landingtrack.internal.serving.BackendTransport.Exchange;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.landingtrack.internal.serving.BackendTransport.ResponseHead;
import org.landingtrack.internal.serving.BackendTransport.StreamEvent;
import org.landingtrack.internal.serving.ServerSelector.Selection;

/**
 * One attempt to run a request at one backend server. It keeps the counts of work in flight at the
 * server up to date, and reports the outcome to its {@link OutcomeListener} until it is over or
 * cancelled. Used on the event loop only.
 */
final class Attempt implements BackendTransport.Listener {
  private final CallerRequest request;
  private final AttemptPlan plan;
  private final PartStores parts;
  private final BackendHealth health;
  private final ServerRegistry servers;
  private final EventLoop loop;
  private final OutcomeListener outcomeListener;
  private final long missingTokens;
  private final long memoryTokens;
  private @Nullable Exchange exchange;
  private @Nullable ResponseHead head;
  private EventLoop.@Nullable Timer startTimeout;
  private boolean prefilling = true;
  private long sentAtMs;
  private boolean over;

  /** Receives the events of an attempt. */
  interface OutcomeListener {
    /** The server did not run the request and never will. The attempt is over. */
    void notRun(Attempt sent, NotRunReason reason, String why);

    /** The head of the response holds a notice of the server about its own state. */
    void noticeReceived(Attempt sent, ServerNotice notice);

    /** The head of a streamed response arrived. */
    void streamStarted(Attempt sent, ResponseHead head);

    /** An event of a streamed response arrived. */
    void event(StreamEvent event);

    /** The response is complete. The attempt is over. */
    void completed(Attempt sent, ResponseHead head, byte[] body);

    /** The attempt failed, and the server may have run the request or still run it. It is over. */
    void outcomeUnknown(Attempt sent, String why);

    /** The network link to the server failed; the attempt goes on. */
    void linkDown(Attempt sent);

    /** The server had not started the request in time, so it was cancelled there. It is over. */
    void withdrawn(Attempt sent);
  }

  Attempt(CallerRequest request, AttemptPlan plan, Serving serving, OutcomeListener listener) {
    this.loop = serving.loop();
    this.request = request;
    this.plan = plan;
    this.parts = serving.state().partStores();
    this.health = serving.health();
    this.servers = serving.state().servers();
    this.outcomeListener = listener;
    Prompt prompt = request.prompt();
    this.missingTokens =
        prompt == null || plan.cacheTokens() == 0
            ? 0
            : Math.max(0, prompt.tokens() - plan.cachedOrFetchedTokens());
    this.memoryTokens = prompt == null || plan.cacheTokens() == 0 ? 0 : prompt.memoryTokens();
  }

  /**
   * Sends the request.
   *
   * @param mayBeginMs the time from now within which the server must start to respond, or the
   *     attempt is withdrawn; a response that has started goes on
   */
  void start(BackendTransport transport, BackendCall call, long mayBeginMs) {
    sentAtMs = loop.millis();
    plan.backend().sent(missingTokens, memoryTokens);
    recordTiming();
    health.onSend(this, plan.work());
    if (mayBeginMs < call.leftMs()) {
      startTimeout = loop.schedule(mayBeginMs, this::withdrawIfNotStarted);
    }
    exchange = transport.send(call, this);
  }

  /**
   * Records the attempt for the latency estimate of an engine. Plain servers are not timed: how
   * long they take depends on the work of each request.
   */
  private void recordTiming() {
    Prompt prompt = request.prompt();
    if (prompt == null || plan.cacheTokens() == 0) {
      return;
    }
    Selection choice = plan.choice();
    plan.backend()
        .timing()
        .recordSend(
            this,
            choice.expectedMs(),
            (int) missingTokens,
            choice.expectedMs() - choice.prefillMs(),
            choice.serverIdle(),
            loop.millis());
  }

  /**
   * Cancels the attempt if the server has not sent the head of its response. Until then, closing
   * the connection takes the request out of the server's queue.
   */
  private void withdrawIfNotStarted() {
    if (head == null && !over) {
      var unused = cancel();
      outcomeListener.withdrawn(this);
    }
  }

  Backend backend() {
    return plan.backend();
  }

  /** Returns true if the attempt probes an ejected server. */
  boolean isProbe() {
    return plan.probe();
  }

  /** Returns true if the head of the response arrived. */
  boolean hasStarted() {
    return head != null;
  }

  String serverId() {
    return plan.backend().entry().id();
  }

  /**
   * Cancels the attempt; its listener receives nothing more.
   *
   * @return true if the server may have received the request
   */
  boolean cancel() {
    return close() && exchange != null && exchange.cancel();
  }

  /** Fails the attempt as if its connection had broken: the server may have run the request. */
  void failInDoubt(String why) {
    var unused = cancel();
    outcomeListener.outcomeUnknown(this, why);
  }

  /**
   * Records a successful response: the server is healthy, and has cached the parts of the prompt.
   */
  void succeeded() {
    plan.backend().succeeded(loop.millis());
    Prompt prompt = request.prompt();
    if (prompt != null && plan.cacheTokens() > 0) {
      plan.backend().cachedParts().recordPrefill(plan.scope(), prompt, plan.cacheTokens());
    }
  }

  /**
   * Returns true if a request of this VM with a part of the same prompt ended well, at this server
   * or at another one that still serves the same weights.
   */
  boolean hasServedPart(String partKey) {
    return servers.hasCachedPart(plan.scope(), partKey)
        || plan.backend().cachedParts().contains(plan.scope(), partKey);
  }

  /**
   * Records that the server does not have the requested weight version. If an older version than
   * the newest one was requested, the server has the newest; otherwise it has not loaded the newest
   * yet. When it was assumed to have the newest in both cases, requests went to the same server
   * again and again: 2,708 refusals in a day on which engines loaded late.
   */
  void refusedWeights(ServingState state) {
    Prompt prompt = request.prompt();
    if (prompt == null) {
      return;
    }
    long newest = state.newestWeights(prompt.model()).orElse(0);
    if (plan.weights() < newest) {
      plan.backend().onWeightsRefused(prompt.model(), newest);
    } else {
      plan.backend().forgetLearnedWeights(prompt.model(), loop.millis());
    }
  }

  /** Ends the counts of this attempt at the server; returns false if they had already ended. */
  private boolean close() {
    if (over) {
      return false;
    }
    over = true;
    if (startTimeout != null) {
      startTimeout.cancel();
    }
    plan.backend().timing().recordEnd(this, loop.millis());
    health.onClosed(this);
    endPrefill();
    plan.backend().finished(memoryTokens);
    return true;
  }

  private void endPrefill() {
    if (!prefilling) {
      return;
    }
    prefilling = false;
    plan.backend().prefilled(missingTokens);
    plan.backend().linkBacklog().removeAll(request);
    parts.endFetches(request);
  }

  @Override
  public void notRun(NotRunReason reason, String why) {
    if (reason == NotRunReason.NO_CONNECTION) {
      health.onFailure(this);
    }
    if (close()) {
      outcomeListener.notRun(this, reason, why);
    }
  }

  /** Returns when the request was sent, on the event loop's clock. */
  long sentAtMs() {
    return sentAtMs;
  }

  @Override
  public void noticeReceived(ServerNotice notice) {
    if (!over) {
      outcomeListener.noticeReceived(this, notice);
    }
  }

  @Override
  public void head(ResponseHead received) {
    if (over) {
      return;
    }
    head = received;
    Prompt prompt = request.prompt();
    if (prompt != null && received.weightVersion().isPresent()) {
      plan.backend().learnWeightVersion(prompt.model(), received.weightVersion().getAsLong());
    }
    if (received.isStream()) {
      plan.backend().succeeded(loop.millis());
      outcomeListener.streamStarted(this, received);
    }
  }

  @Override
  public void event(StreamEvent event) {
    if (over) {
      return;
    }
    plan.backend().timing().recordFirstEvent(this, loop.millis());
    health.onFirstEvent(this);
    endPrefill();
    outcomeListener.event(event);
  }

  @Override
  public void completed(byte[] body) {
    ResponseHead received = head;
    if (received != null) {
      health.onAnswer(this, received);
    }
    if (received != null && close()) {
      outcomeListener.completed(this, received, body);
    }
  }

  @Override
  public void linkDown() {
    if (!over) {
      health.onClosed(this);
      outcomeListener.linkDown(this);
    }
  }

  @Override
  public void outcomeUnknown(String why) {
    health.onFailure(this);
    if (close()) {
      outcomeListener.outcomeUnknown(this, why);
    }
  }
}
