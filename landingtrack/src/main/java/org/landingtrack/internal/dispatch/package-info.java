/** Sends requests to backend servers: server selection, attempts, retries and token streams. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.dispatch;
