package org.teaselhook.bench.agentcost;

import java.util.Locale;

/**
 * The resources that an idle daemon used during one measurement.
 *
 * @param role the daemon's role, as on the command line
 * @param entries the number of entries that it is connected to
 * @param first the usage at the start
 * @param last the usage at the end
 * @param heapBytes the live heap in bytes at the end, after a garbage collection
 */
record DaemonCost(String role, int entries, DaemonUsage first, DaemonUsage last, long heapBytes) {

    private static final double MEBIBYTE = 1 << 20;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the figures as one line of key=value pairs. */
    String line() {
        double nanos = last.atNanos() - first.atNanos();
        return String.format(
                Locale.ROOT,
                "case=idle-%s entries=%d seconds=%.0f resident_mib=%.1f private_mib=%.1f heap_live_mib=%.1f"
                        + " cpu_percent_of_core=%.2f bytes_per_s=%.0f",
                role,
                entries,
                nanos / NANOS_PER_SECOND,
                last.residentBytes() / MEBIBYTE,
                last.privateBytes() / MEBIBYTE,
                heapBytes / MEBIBYTE,
                100.0 * (last.cpuNanos() - first.cpuNanos()) / nanos,
                NANOS_PER_SECOND * (last.transferredBytes() - first.transferredBytes()) / nanos);
    }
}
