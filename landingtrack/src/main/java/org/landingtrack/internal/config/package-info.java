/** Replication of the accepted configuration between processes. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.config;
