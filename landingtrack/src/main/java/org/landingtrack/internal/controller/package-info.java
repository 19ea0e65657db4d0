/** The controller process: dependency injection, life cycle and the messages that it handles. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.controller;
