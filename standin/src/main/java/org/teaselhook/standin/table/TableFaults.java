package org.teaselhook.standin.table;

import java.util.Objects;

/**
 * The faults that the stand-in shows.
 *
 * @param outage whether and how the service is down
 * @param readLatencyMillis added to each read
 * @param writeLatencyMillis added to each transaction
 * @param lostAnswerShare the share, from 0 to 1, of transactions that take effect while their answer is lost
 * @param lateShare the share, from 0 to 1, of transactions whose answer is lost and that take effect only later
 * @param lateMillis how long after its arrival a late transaction takes effect
 */
public record TableFaults(
        Outage outage,
        long readLatencyMillis,
        long writeLatencyMillis,
        double lostAnswerShare,
        double lateShare,
        long lateMillis) {

    private static final TableFaults NONE = new TableFaults(Outage.NONE, 0, 0, 0, 0, 0);

    /** Checks that nothing is null. */
    public TableFaults {
        outage = Objects.requireNonNullElse(outage, Outage.NONE);
    }

    /** The ways to be down. */
    public enum Outage {
        /** Not down. */
        NONE,
        /** Every call is answered with status 503 and has no effect. */
        REFUSING,
        /** No call is answered, and none has an effect. */
        SILENT
    }

    /**
     * Returns the faults of a service in order.
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
     * @param readMillis added to each read
     * @param writeMillis added to each transaction
     * @return new faults
     */
    public TableFaults withLatency(long readMillis, long writeMillis) {
        return new TableFaults(outage, readMillis, writeMillis, lostAnswerShare, lateShare, lateMillis);
    }

    /**
     * Returns these faults with another share of lost answers.
     *
     * @param share from 0 to 1
     * @return new faults
     */
    public TableFaults withLostAnswers(double share) {
        return new TableFaults(outage, readLatencyMillis, writeLatencyMillis, share, lateShare, lateMillis);
    }

    /**
     * Returns these faults with another share of late transactions.
     *
     * @param share from 0 to 1
     * @param millis how long after its arrival a late transaction takes effect
     * @return new faults
     */
    public TableFaults withLateWrites(double share, long millis) {
        return new TableFaults(outage, readLatencyMillis, writeLatencyMillis, lostAnswerShare, share, millis);
    }
}
