/**
 * What became of a submission: complete, not run, or possibly run.
 */
package org.teaselhook.core.outcome;
