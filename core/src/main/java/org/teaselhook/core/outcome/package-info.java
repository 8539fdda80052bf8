/**
 * Outcomes of submissions (complete, not run, or possibly run) and the problems reported to callers.
 */
package org.teaselhook.core.outcome;
