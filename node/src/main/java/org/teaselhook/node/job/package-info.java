/**
 * The entry for jobs whose tasks ask for amounts: its callers, its agents, and what it knows of the operators'
 * decisions.
 */
package org.teaselhook.node.job;
