/** What is let in: limits of teams, fair queues, deadlines. Does no I/O. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.admission;
