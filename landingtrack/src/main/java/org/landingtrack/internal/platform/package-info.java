/** The platform's Object API and VM list, behind interfaces. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.platform;
