/**
 * HTTP endpoints for the liveness, readiness and metrics of a daemon.
 */
package org.teaselhook.node.health;
