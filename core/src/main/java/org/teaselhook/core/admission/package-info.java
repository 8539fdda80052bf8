/**
 * The last check before a task starts, made by the agent beside the target.
 */
package org.teaselhook.core.admission;
