/** Sending a request to a backend server: attempts, retries, streams. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.dispatch;
