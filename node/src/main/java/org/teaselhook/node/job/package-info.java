/**
 * The entry for jobs whose tasks request amounts of resources: its callers, its agents, and its copy of the operators'
 * routes.
 */
package org.teaselhook.node.job;
