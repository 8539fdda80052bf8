package org.teaselhook.bench.load;

import java.util.random.RandomGenerator;

import org.teaselhook.standin.target.RunTime;

/** The kinds of requests of both customers, with their shares of the arrivals. */
enum RequestKind {
    PHOTO_CHECK("photo-check", "pandal", true, 0.40, 1, 1, RunTime.logUniform(50, 400), 5_000, 150),
    QUOTE("quote", "pandal", true, 0.20, 1, 1, RunTime.uniform(200, 1_000), 8_000, 600),
    BOOKING("booking", "pandal", false, 0.12, 1, 1, RunTime.logUniform(50, 300), 5_000, 130),
    PINHOLE_CHECK("pinhole-check", "kalnins", true, 0.14, 1, 1, RunTime.logUniform(50, 200), 5_000, 100),
    ENGRAVING("engraving", "kalnins", false, 0.10, 1, 1, RunTime.uniform(100, 500), 8_000, 300),
    CHART("chart", "kalnins", true, 0.02, 5, 30, RunTime.uniform(50, 500), 15_000, 275),
    RENDERING("rendering", "kalnins", true, 0.02, 1, 1, RunTime.uniform(2_000, 4_000), 20_000, 3_000);

    private static final double PANDAL_LATENCY_MILLIS = 3;
    private static final double KALNINS_LATENCY_MILLIS = 1;

    private final String kind;
    private final String customer;
    private final boolean idempotent;
    private final double share;
    private final int minTasks;
    private final int maxTasks;
    private final RunTime runTime;
    private final int timeoutMillis;
    private final int meanMillis;

    RequestKind(
            String kind,
            String customer,
            boolean idempotent,
            double share,
            int minTasks,
            int maxTasks,
            RunTime runTime,
            int timeoutMillis,
            int meanMillis) {
        this.kind = kind;
        this.customer = customer;
        this.idempotent = idempotent;
        this.share = share;
        this.minTasks = minTasks;
        this.maxTasks = maxTasks;
        this.runTime = runTime;
        this.timeoutMillis = timeoutMillis;
        this.meanMillis = meanMillis;
    }

    // -- accessors

    String kind() {
        return kind;
    }

    String customer() {
        return customer;
    }

    boolean idempotent() {
        return idempotent;
    }

    boolean isJob() {
        return maxTasks > 1;
    }

    int timeoutMillis() {
        return timeoutMillis;
    }

    RunTime runTime() {
        return runTime;
    }

    int drawTasks(RandomGenerator random) {
        return minTasks + random.nextInt(maxTasks - minTasks + 1);
    }

    /** Returns the one-way latency between the customer's clients and an entry. */
    double clientLatencyMillis() {
        return customer.equals("pandal") ? PANDAL_LATENCY_MILLIS : KALNINS_LATENCY_MILLIS;
    }

    /** Returns the rules line of this kind, with the declared run time multiplied by a factor. */
    String rule(String service, String suffix, double declaredFactor) {
        long declared = Math.max(1, Math.round(meanMillis * declaredFactor));
        String mode = idempotent ? "idempotent" : "once";
        return "kind %s %s %s timeout=20s run=%dms  # %s: measurement\n"
                .formatted(service, kind + suffix, mode, declared, customer);
    }

    // -- random selection

    static RequestKind draw(RandomGenerator random) {
        double remaining = random.nextDouble();
        for (RequestKind kind : values()) {
            remaining -= kind.share;
            if (remaining < 0) {
                return kind;
            }
        }
        return PHOTO_CHECK;
    }
}
