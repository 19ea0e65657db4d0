/**
 * Stand-ins (simple fakes) for the systems around landingtrack, for tests and benchmarks: the
 * platform's Object API and VM list, model engines, store VMs and plain services. Each can run in
 * the process of a test or in its own, and can inject {@link org.landingtrack.standins.Faults}.
 */
@org.jspecify.annotations.NullMarked
package org.landingtrack.standins;
