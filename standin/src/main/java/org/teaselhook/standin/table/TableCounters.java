package org.teaselhook.standin.table;

/**
 * Counts of the calls that the stand-in has processed since its start.
 *
 * @param reads the reads and scans answered
 * @param writes the transactions that took effect
 * @param conflicts the transactions refused because a condition did not hold
 */
public record TableCounters(long reads, long writes, long conflicts) {}
