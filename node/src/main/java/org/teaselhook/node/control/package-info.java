/**
 * The single thread that owns a process's control state.
 */
package org.teaselhook.node.control;
