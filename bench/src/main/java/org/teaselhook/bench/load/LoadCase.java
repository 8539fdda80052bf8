package org.teaselhook.bench.load;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The cases: how the load runs over time, as a multiple of all slots, and what goes wrong when. */
enum LoadCase {
    /** Seventy per cent, nothing wrong. */
    STEADY70(0.7),
    /** Forty per cent, and three times all slots for a second in each five. */
    BURST(3) {
        @Override
        double at(double time) {
            return time * 4 % 1 < 0.2 ? 3 : 0.4;
        }
    },
    /** All slots in the first half, twice as much in the second. */
    OVERLOAD2X(2) {
        @Override
        double at(double time) {
            return time < 0.5 ? 1 : 2;
        }
    },
    /** A backlog of many times all slots at once, then seventy per cent. */
    MONDAY(6) {
        @Override
        double at(double time) {
            return time > 0.15 && time < 0.25 ? 6 : 0.7;
        }
    },
    /** Ninety per cent while a zone leaves for a third of the time and returns. */
    ZONE(0.9) {
        @Override
        List<Fault> faults() {
            return List.of(new Fault(1.0 / 3, FaultAction.ZONE_OUT), new Fault(2.0 / 3, FaultAction.ZONE_IN));
        }
    },
    /** Sixty per cent while the table service is out for a third of the time. */
    OUTAGE(0.6) {
        @Override
        List<Fault> faults() {
            return List.of(new Fault(1.0 / 3, FaultAction.TABLE_OUT), new Fault(2.0 / 3, FaultAction.TABLE_BACK));
        }
    },
    /** Sixty per cent while one worker fails everything at once for half of the time. */
    BLACKHOLE(0.6) {
        @Override
        List<Fault> faults() {
            return List.of(new Fault(0.25, FaultAction.FAIL_EVERYTHING), new Fault(0.75, FaultAction.RECOVER));
        }
    },
    /** Sixty per cent while one worker is eight times slower for half of the time. */
    STRAGGLER(0.6) {
        @Override
        List<Fault> faults() {
            return List.of(new Fault(0.25, FaultAction.SLOW_DOWN), new Fault(0.75, FaultAction.RECOVER));
        }
    },
    /** Seventy per cent with declared run times ten times too long. */
    RUNTIME10X(0.7) {
        @Override
        double declaredFactor() {
            return 10;
        }
    },
    /** Thirty per cent too much, and callers that send again at once what was refused. */
    RETRYSTORM(1.3) {
        @Override
        int resends() {
            return 5;
        }
    },
    /** Twenty per cent too much, and all who wait give up at half of the time. */
    CANCELWAVE(1.2) {
        @Override
        double allCancelAt() {
            return 0.5;
        }
    };

    private final double peak;

    LoadCase(double peak) {
        this.peak = peak;
    }

    /** What happens at a share of the time. */
    record Fault(double time, FaultAction action) {}

    /** Finds a case by its label, in any case of letters. */
    static Optional<LoadCase> named(String label) {
        return Arrays.stream(values())
                .filter(load -> load.label().equalsIgnoreCase(label))
                .findFirst();
    }

    /** The greatest load. */
    double peak() {
        return peak;
    }

    /** The load at a share of the time. */
    double at(double time) {
        return peak;
    }

    List<Fault> faults() {
        return List.of();
    }

    double declaredFactor() {
        return 1;
    }

    /** How often a caller sends a refused request again, at once. */
    int resends() {
        return 0;
    }

    /** The share of the time at which every waiting caller gives up; above 1 for never. */
    double allCancelAt() {
        return 2;
    }

    String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
