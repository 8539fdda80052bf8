/**
 * Admission control on the agent: the last check before a task starts at its target.
 */
package org.teaselhook.core.admission;
