/**
 * The agent of a worker that runs tasks under leases: its connections to the entries, and the processing
 * of the worker's reports.
 */
package org.teaselhook.node.lease;
