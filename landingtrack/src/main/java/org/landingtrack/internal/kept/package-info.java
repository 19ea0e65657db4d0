/**
 * Export of KV cache blocks from engines to store VMs: which blocks are worth the transfer, the
 * budget of the links, and eviction from full store VMs.
 */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.kept;
