/**
 * Estimates of run times from observations.
 */
package org.teaselhook.core.estimate;
