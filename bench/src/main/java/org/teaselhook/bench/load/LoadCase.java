package org.teaselhook.bench.load;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The benchmark cases: the load over time, as a multiple of the capacity of all slots, and the injected faults. */
enum LoadCase {
    /** 70% load without faults. */
    STEADY70(0.7),
    /** 40% load, with four bursts of 300%, each for a twentieth of the run. */
    BURST(3) {
        @Override
        double loadAt(double fraction) {
            return fraction * 4 % 1 < 0.2 ? 3 : 0.4;
        }
    },
    /** 100% load in the first half, 200% in the second. */
    OVERLOAD2X(2) {
        @Override
        double loadAt(double fraction) {
            return fraction < 0.5 ? 1 : 2;
        }
    },
    /** 70% load, except for a backlog from 600% load between 15% and 25% of the run. */
    MONDAY(6) {
        @Override
        double loadAt(double fraction) {
            return fraction > 0.15 && fraction < 0.25 ? 6 : 0.7;
        }
    },
    /** 90% load; one availability zone is out for the middle third of the run. */
    ZONE(0.9) {
        @Override
        List<Fault> faults() {
            return List.of(new Fault(1.0 / 3, FaultAction.ZONE_OUT), new Fault(2.0 / 3, FaultAction.ZONE_IN));
        }
    },
    /** 60% load; the table service is down for the middle third of the run. */
    OUTAGE(0.6) {
        @Override
        List<Fault> faults() {
            return List.of(new Fault(1.0 / 3, FaultAction.TABLE_OUT), new Fault(2.0 / 3, FaultAction.TABLE_BACK));
        }
    },
    /** 60% load; one worker fails every task immediately for half of the run. */
    BLACKHOLE(0.6) {
        @Override
        List<Fault> faults() {
            return List.of(new Fault(0.25, FaultAction.FAIL_EVERYTHING), new Fault(0.75, FaultAction.RECOVER));
        }
    },
    /** 60% load; one worker is eight times slower for half of the run. */
    STRAGGLER(0.6) {
        @Override
        List<Fault> faults() {
            return List.of(new Fault(0.25, FaultAction.SLOW_DOWN), new Fault(0.75, FaultAction.RECOVER));
        }
    },
    /** 70% load; declared run times are ten times too long. */
    RUNTIME10X(0.7) {
        @Override
        double declaredFactor() {
            return 10;
        }
    },
    /** 130% load; callers immediately resend refused requests. */
    RETRYSTORM(1.3) {
        @Override
        int resends() {
            return 5;
        }
    },
    /** 120% load; all waiting callers cancel halfway through the run. */
    CANCELWAVE(1.2) {
        @Override
        double cancelAllAt() {
            return 0.5;
        }
    };

    private final double peak;

    LoadCase(double peak) {
        this.peak = peak;
    }

    /** A fault action applied at a fraction of the run's duration. */
    record Fault(double atFraction, FaultAction action) {}

    /** Finds a case by its label, ignoring upper and lower case. */
    static Optional<LoadCase> ofLabel(String label) {
        return Arrays.stream(values())
                .filter(load -> load.label().equalsIgnoreCase(label))
                .findFirst();
    }

    /** Returns the highest load. */
    double peak() {
        return peak;
    }

    /** Returns the load at a fraction of the run's duration. */
    double loadAt(double fraction) {
        return peak;
    }

    List<Fault> faults() {
        return List.of();
    }

    double declaredFactor() {
        return 1;
    }

    /** Returns how many times a caller immediately resends a refused request. */
    int resends() {
        return 0;
    }

    /** Returns the fraction of the run's duration at which every waiting caller cancels; above 1 for never. */
    double cancelAllAt() {
        return 2;
    }

    String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
