/**
 * The event loop that runs on the single thread owning a process's control state.
 */
package org.teaselhook.node.control;
