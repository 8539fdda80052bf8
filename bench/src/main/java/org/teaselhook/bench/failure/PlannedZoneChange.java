package org.teaselhook.bench.failure;

/**
 * A scheduled operator command that takes an availability zone out or brings it back.
 *
 * @param zone the zone
 * @param out true to take it out, false to bring it back
 * @param entry the index of the entry that the operator uses
 * @param atMillis when it is sent, in milliseconds since the start of the run
 */
record PlannedZoneChange(String zone, boolean out, int entry, long atMillis) {}
