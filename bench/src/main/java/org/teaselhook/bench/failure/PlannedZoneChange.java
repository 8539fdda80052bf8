package org.teaselhook.bench.failure;

/**
 * An operator's change of an availability zone at its time.
 *
 * @param zone the zone
 * @param out true to take it out
 * @param entry the index of the entry that the operator uses
 * @param atMillis when it is sent, in milliseconds since the start of the run
 */
record PlannedZoneChange(String zone, boolean out, int entry, long atMillis) {}
