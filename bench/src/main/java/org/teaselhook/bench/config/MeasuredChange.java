package org.teaselhook.bench.config;

/**
 * One change as its operator saw it. Times are wall-clock epoch milliseconds of the one machine.
 *
 * @param version the version accepted
 * @param sentMillis when the change was sent
 * @param answeredMillis when it was answered as accepted
 * @param confirmedMillis when the entry reported it as in force at every process
 */
record MeasuredChange(long version, long sentMillis, long answeredMillis, long confirmedMillis) {}
