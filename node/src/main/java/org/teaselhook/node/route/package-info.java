/**
 * The operators' routes as they travel: read from the store, and passed on between entries and agents.
 */
package org.teaselhook.node.route;
