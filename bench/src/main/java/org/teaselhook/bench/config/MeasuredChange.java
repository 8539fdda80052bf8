package org.teaselhook.bench.config;

/**
 * The times of one change as its operator observed them, in epoch milliseconds of the machine's wall clock.
 *
 * @param version the version that the change created
 * @param sentMillis when the change was sent
 * @param answeredMillis when the operator received the acceptance
 * @param confirmedMillis when the entry reported it as in force at every process
 */
record MeasuredChange(long version, long sentMillis, long answeredMillis, long confirmedMillis) {}
