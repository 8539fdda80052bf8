/**
 * The entry node: admits submissions, dispatches them to agents, and answers them.
 */
package org.teaselhook.node.entry;
