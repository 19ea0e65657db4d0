/** Explanations of requests: the decisions about each one and their reasons, in bounded memory. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.explain;
