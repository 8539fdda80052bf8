/**
 * Transfer of the operators' routes: from the store to entries, and between entries and agents.
 */
package org.teaselhook.node.route;
