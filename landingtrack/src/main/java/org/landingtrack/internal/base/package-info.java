/** Small building blocks: clocks, threads, JSON, logs and metrics. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.base;
