/**
 * Choice of a worker for a task.
 */
package org.teaselhook.core.placement;
