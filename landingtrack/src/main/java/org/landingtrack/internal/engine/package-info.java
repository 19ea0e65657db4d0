/** Calls to model engines and store VMs. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.engine;
