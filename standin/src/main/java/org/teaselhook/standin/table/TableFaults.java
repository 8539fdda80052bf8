package org.teaselhook.standin.table;

import java.util.Objects;

/**
 * The faults that the stand-in injects.
 *
 * @param outage whether and how the service is down
 * @param readLatencyMillis latency added to each read, in milliseconds
 * @param writeLatencyMillis latency added to each transaction, in milliseconds
 * @param lostAnswerShare the share, from 0 to 1, of transactions that take effect while their answer is lost
 * @param lateShare the share, from 0 to 1, of transactions whose answer is lost and that take effect only later
 * @param lateMillis delay from the arrival of a late transaction until it takes effect, in milliseconds
 */
public record TableFaults(
        Outage outage,
        long readLatencyMillis,
        long writeLatencyMillis,
        double lostAnswerShare,
        double lateShare,
        long lateMillis) {

    private static final TableFaults NONE = new TableFaults(Outage.NONE, 0, 0, 0, 0, 0);

    /** Replaces a null outage, as of JSON without one, by {@link Outage#NONE}. */
    public TableFaults {
        outage = Objects.requireNonNullElse(outage, Outage.NONE);
    }

    /** The ways in which the service can be down. */
    public enum Outage {
        /** Not down. */
        NONE,
        /** Every call is answered with status 503 and has no effect. */
        REFUSING,
        /** No call is answered or has an effect. */
        SILENT
    }

    /**
     * Returns the faults of a healthy service.
     *
     * @return no faults
     */
    public static TableFaults none() {
        return NONE;
    }

    /**
     * Returns these faults with another outage.
     *
     * @param changed the outage
     * @return new faults
     */
    public TableFaults withOutage(Outage changed) {
        return new TableFaults(changed, readLatencyMillis, writeLatencyMillis, lostAnswerShare, lateShare, lateMillis);
    }

    /**
     * Returns these faults with other latencies.
     *
     * @param readMillis latency added to each read, in milliseconds
     * @param writeMillis latency added to each transaction, in milliseconds
     * @return new faults
     */
    public TableFaults withLatency(long readMillis, long writeMillis) {
        return new TableFaults(outage, readMillis, writeMillis, lostAnswerShare, lateShare, lateMillis);
    }

    /**
     * Returns these faults with another share of lost answers.
     *
     * @param share the share, from 0 to 1
     * @return new faults
     */
    public TableFaults withLostAnswers(double share) {
        return new TableFaults(outage, readLatencyMillis, writeLatencyMillis, share, lateShare, lateMillis);
    }

    /**
     * Returns these faults with another share of late transactions.
     *
     * @param share the share, from 0 to 1
     * @param millis delay from the arrival of a late transaction until it takes effect, in milliseconds
     * @return new faults
     */
    public TableFaults withLateWrites(double share, long millis) {
        return new TableFaults(outage, readLatencyMillis, writeLatencyMillis, lostAnswerShare, share, millis);
    }
}
