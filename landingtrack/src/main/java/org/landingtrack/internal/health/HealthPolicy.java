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
package org.landingtrack.internal.health;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/**
 * Outlier detection: decides which servers of a service are ejected, from the outcomes of all VMs.
 * Stateless and without side effects.
 *
 * <p>Designed for many VMs and many servers, where each VM sends one request to a server in several
 * seconds and so cannot decide alone. A server is compared with the other servers of its service,
 * not with a fixed limit: some requests fail on any server, and all servers of an overloaded
 * service are slow.
 */
final class HealthPolicy {
  /**
   * Minimum log-likelihood ratio of "the server is at fault" to "chance" for an ejection. At this
   * value about one healthy server a day is ejected by mistake, for 60 servers that each fail one
   * request in a hundred.
   */
  private static final double MIN_LOG_LIKELIHOOD_RATIO = 15;

  /**
   * At most one in this many servers of a service is ejected at once, since the others have to
   * carry its load.
   */
  private static final int SERVERS_PER_EJECTION = 3;

  /**
   * Minimum excess of a server's failure share over the baseline. Below it, retries of the failed
   * requests cost nothing and no caller is harmed.
   */
  private static final double MIN_EXCESS_FAILURE_SHARE = 0.2;

  /**
   * Minimum excess of the share of slow requests over the baseline. Larger than that for failures,
   * since the time also depends on the request; a slow server is slow for most requests.
   */
  private static final double MIN_EXCESS_SLOW_SHARE = 0.5;

  /** Baseline shares while the other servers have few requests. */
  private static final double PRIOR_FAILURE_SHARE = 0.01;

  private static final double PRIOR_SLOW_SHARE = 0.02;

  /** Weight of the default baseline shares, in requests. */
  private static final double PRIOR_WEIGHT = 100;

  private HealthPolicy() {}

  /** Baseline: shares of failed and of slow requests at the other servers of the service. */
  private record Baseline(double failureShare, double slowShare) {}

  /**
   * A server and its outcomes.
   *
   * @param incarnation hash of its incarnation
   */
  record Server(long incarnation, Evidence evidence) {}

  /**
   * A server that is to be ejected.
   *
   * @param reason text for the log
   * @param score log-likelihood ratio; the highest is ejected first
   */
  record Outlier(Server server, String reason, double score) {}

  /** Returns how many of a service's servers may be ejected at once. */
  static int maxEjections(int servers) {
    return servers / SERVERS_PER_EJECTION;
  }

  /**
   * Returns the servers to eject now, the worst first.
   *
   * @param servers the servers of a service that are not ejected; those without faults may be left
   *     out
   * @param all outcomes of all servers of the service that are not ejected, in total
   * @param maxEjected how many more may be ejected
   */
  static List<Outlier> detect(List<Server> servers, Evidence all, int maxEjected) {
    List<Outlier> ejected = new ArrayList<>();
    List<Server> remaining = new ArrayList<>(servers);
    Evidence sum = all;
    while (ejected.size() < maxEjected) {
      Outlier worst = findWorst(remaining, sum);
      if (worst == null) {
        break;
      }
      ejected.add(worst);
      remaining.remove(worst.server());
      sum = sum.minus(worst.server().evidence());
    }
    return ejected;
  }

  private static @Nullable Outlier findWorst(List<Server> servers, Evidence sum) {
    Outlier worst = null;
    for (Server server : servers) {
      if (!server.evidence().hasFaults()) {
        continue;
      }
      Outlier outlier = detect(server, sum.minus(server.evidence()));
      if (outlier != null && (worst == null || outlier.score() > worst.score())) {
        worst = outlier;
      }
    }
    return worst;
  }

  /** Compares each window of a server with the worse of both windows of the other servers. */
  private static @Nullable Outlier detect(Server server, Evidence others) {
    Baseline baseline =
        new Baseline(
            baselineShare(others, Outcomes::failures, PRIOR_FAILURE_SHARE),
            baselineShare(others, Outcomes::slow, PRIOR_SLOW_SHARE));
    Outlier latest = detect(server, server.evidence().latest(), baseline);
    return latest != null ? latest : detect(server, server.evidence().window(), baseline);
  }

  private static @Nullable Outlier detect(Server server, Outcomes own, Baseline baseline) {
    double failing =
        score(own.failures(), own.total(), baseline.failureShare(), MIN_EXCESS_FAILURE_SHARE);
    if (failing >= MIN_LOG_LIKELIHOOD_RATIO) {
      String reason = reason("failed", own.failures(), own.total(), baseline.failureShare());
      return new Outlier(server, reason, failing);
    }
    double slow = score(own.slow(), own.total(), baseline.slowShare(), MIN_EXCESS_SLOW_SHARE);
    if (slow < MIN_LOG_LIKELIHOOD_RATIO) {
      return null;
    }
    return new Outlier(
        server, reason("were slow", own.slow(), own.total(), baseline.slowShare()), slow);
  }

  private static double baselineShare(Evidence others, ToLongFunction<Outcomes> bad, double prior) {
    return Math.max(
        baselineShare(bad.applyAsLong(others.latest()), others.latest().total(), prior),
        baselineShare(bad.applyAsLong(others.window()), others.window().total(), prior));
  }

  private static double baselineShare(long bad, long total, double prior) {
    return Math.max(prior, (bad + prior * PRIOR_WEIGHT) / (total + PRIOR_WEIGHT));
  }

  /** Returns the log-likelihood ratio, or 0 if the share is too close to the baseline to matter. */
  private static double score(long bad, long total, double baseline, double minExcess) {
    double share = total == 0 ? 0 : (double) bad / total;
    if (share - baseline < minExcess) {
      return 0;
    }
    double badTerm = bad * Math.log(share / baseline);
    long good = total - bad;
    return good == 0 ? badTerm : badTerm + good * Math.log((1 - share) / (1 - baseline));
  }

  private static String reason(String problem, long bad, long total, double baseline) {
    return bad
        + " of "
        + total
        + " requests of all VMs "
        + problem
        + ", usual is "
        + percent(baseline);
  }

  private static String percent(double share) {
    return Math.round(100 * share) + "%";
  }
}
