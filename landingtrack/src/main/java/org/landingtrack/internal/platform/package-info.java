/**
 * Interfaces to the platform's Object API and VM list, their HTTP clients, and wrappers that add
 * circuit breaking, timestamps of changes and relaying through hubs.
 */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.platform;
