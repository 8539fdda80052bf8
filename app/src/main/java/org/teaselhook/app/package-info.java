/**
 * The {@code teaselhook} command.
 */
package org.teaselhook.app;
