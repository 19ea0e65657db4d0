/**
 * Admission control of gateways: limits of teams, fair queues and adaptive concurrency limits. Does
 * no I/O.
 */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.admission;
