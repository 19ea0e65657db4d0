/** Kept KV state in store VMs: what to export, restore and evict, and at what cost. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.kept;
