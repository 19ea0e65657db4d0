/**
 * Small stand-ins of the systems that landingtrack is used with, for tests and measurements: the
 * platform's Object API and VM list, model engines, store VMs and plain services. Each can be
 * started inside a test or as its own process, and has faults that are switched by a call.
 */
@org.jspecify.annotations.NullMarked
package org.landingtrack.standins;
