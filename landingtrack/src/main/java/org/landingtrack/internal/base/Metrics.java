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

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;

/** Registers and exports the metrics of one process, in a registry of its own. Thread-safe. */
public final class Metrics {
  private final PrometheusRegistry registry = new PrometheusRegistry();

  public Metrics() {
    gauge("landingtrack_heap_bytes", "Heap in use, in bytes.", Metrics::heapBytes);
    gauge(
        "landingtrack_cpu_seconds",
        "CPU time used by the process, in seconds.",
        Metrics::cpuSeconds);
  }

  /** Registers a counter with labels. */
  public Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  /** Registers a gauge whose value is set by the caller. */
  public Gauge gauge(String name, String help, String... labels) {
    return Gauge.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  /** Registers a gauge whose value is computed at each scrape. */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Registers a histogram of durations in seconds. */
  public Histogram histogram(String name, String help, String... labels) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .labelNames(labels)
        .classicUpperBounds(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.9, 2.5, 5, 10, 30)
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String toPrometheusText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.builder().build().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }

  private static double heapBytes() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static double cpuSeconds() {
    var os = ManagementFactory.getOperatingSystemMXBean();
    if (os instanceof com.sun.management.OperatingSystemMXBean sun) {
      return sun.getProcessCpuTime() / 1e9;
    }
    return 0;
  }
}
