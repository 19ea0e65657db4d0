/** Frames between landingtrack's own processes: TCP with MessagePack. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.peer;
