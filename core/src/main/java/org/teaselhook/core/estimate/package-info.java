/**
 * Run times learned from observation.
 */
package org.teaselhook.core.estimate;
