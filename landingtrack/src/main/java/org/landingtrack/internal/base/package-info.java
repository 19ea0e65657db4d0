/** Shared utilities: clocks, worker threads, hashing, HTTP servers, JSON, logging and metrics. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.base;
