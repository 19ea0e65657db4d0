/**
 * TLS identities of processes: keys and certificates that are read from files and renewed without a
 * restart, and an issuer for deployments without an authority of their own.
 */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.tls;
