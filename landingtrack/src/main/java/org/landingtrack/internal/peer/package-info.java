/** Calls between landingtrack's own processes: MessagePack frames over TCP, optionally with TLS. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.peer;
