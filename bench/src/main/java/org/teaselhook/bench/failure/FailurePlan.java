package org.teaselhook.bench.failure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.teaselhook.bench.failure.FaultSubject.SiteSize;
import org.teaselhook.bench.process.SitePlan;

/** The faults and zone changes of a run, determined by its seed alone. */
final class FailurePlan {

    private static final int FAULT_SEQUENCES = 3;
    private static final int OPERATORS = 2;
    private static final int MAX_GAP_MILLIS = 1_500;
    private static final int MAX_DRAWS = 50;
    private static final int MIN_ZONE_OUT_MILLIS = 3_000;
    private static final int MAX_ZONE_OUT_MILLIS = 7_000;
    private static final int MAX_ZONE_GAP_MILLIS = 6_000;
    private static final int VARIANTS = 3;

    private final List<List<PlannedFault>> faults;
    private final List<List<PlannedZoneChange>> zoneChanges;

    private FailurePlan(List<List<PlannedFault>> faults, List<List<PlannedZoneChange>> zoneChanges) {
        this.faults = faults;
        this.zoneChanges = zoneChanges;
    }

    // -- factories

    static FailurePlan draw(long seed, SitePlan site, long millis) {
        Random random = new Random(seed);
        List<List<PlannedFault>> faults = new ArrayList<>();
        for (int i = 0; i < FAULT_SEQUENCES; i++) {
            faults.add(drawFaults(random, site, millis, faults));
        }
        List<List<PlannedZoneChange>> changes = new ArrayList<>();
        for (int i = 0; i < OPERATORS; i++) {
            changes.add(drawZoneChanges(random, site, millis));
        }
        return new FailurePlan(faults, changes);
    }

    // -- accessors

    /** Returns one sequence for each thread; the faults of a sequence do not overlap, those of different ones may. */
    List<List<PlannedFault>> faults() {
        return faults;
    }

    /** Returns one sequence for each operator. */
    List<List<PlannedZoneChange>> zoneChanges() {
        return zoneChanges;
    }

    // -- drawing

    private static List<PlannedFault> drawFaults(
            Random random, SitePlan site, long millis, List<List<PlannedFault>> others) {
        List<PlannedFault> sequence = new ArrayList<>();
        long atMillis = random.nextInt(MAX_GAP_MILLIS);
        while (atMillis < millis) {
            PlannedFault fault = drawFault(random, site, atMillis, others);
            sequence.add(fault);
            atMillis = fault.endMillis() + random.nextInt(MAX_GAP_MILLIS);
        }
        sequence.removeIf(fault -> fault.endMillis() > millis);
        return sequence;
    }

    /**
     * Draws faults until one affects no subject of an overlapping fault; after {@link #MAX_DRAWS} draws returns a fault
     * without subjects.
     */
    private static PlannedFault drawFault(
            Random random, SitePlan site, long atMillis, List<List<PlannedFault>> others) {
        for (int i = 0; i < MAX_DRAWS; i++) {
            PlannedFault fault = drawOne(random, site, atMillis);
            boolean disjoint = others.stream()
                    .flatMap(List::stream)
                    .noneMatch(other -> fault.overlaps(other) && fault.sharesSubjectWith(other));
            if (disjoint) {
                return fault;
            }
        }
        return new PlannedFault(FaultKind.KILL_AGENT, List.of(), 0, atMillis, atMillis + MAX_GAP_MILLIS);
    }

    private static PlannedFault drawOne(Random random, SitePlan site, long atMillis) {
        SiteSize size = new SiteSize(site.entries(), site.agents(), site.zones().size());
        FaultKind kind = drawKind(random);
        int millis = kind.minMillis() + random.nextInt(kind.maxMillis() - kind.minMillis());
        List<String> subjects = kind.subject().draw(size, random);
        return new PlannedFault(kind, subjects, random.nextInt(VARIANTS), atMillis, atMillis + millis);
    }

    private static FaultKind drawKind(Random random) {
        FaultKind[] kinds = FaultKind.values();
        int draw =
                random.nextInt(Arrays.stream(kinds).mapToInt(FaultKind::weight).sum());
        for (FaultKind kind : kinds) {
            draw -= kind.weight();
            if (draw < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("the drawn number exceeds the sum of all weights");
    }

    private static List<PlannedZoneChange> drawZoneChanges(Random random, SitePlan site, long millis) {
        List<PlannedZoneChange> changes = new ArrayList<>();
        long atMillis = random.nextInt(MAX_ZONE_GAP_MILLIS);
        while (atMillis < millis) {
            String zone = site.zones().get(random.nextInt(site.zones().size()));
            long backMillis =
                    atMillis + MIN_ZONE_OUT_MILLIS + random.nextInt(MAX_ZONE_OUT_MILLIS - MIN_ZONE_OUT_MILLIS);
            changes.add(new PlannedZoneChange(zone, true, random.nextInt(site.entries()), atMillis));
            changes.add(new PlannedZoneChange(zone, false, random.nextInt(site.entries()), backMillis));
            atMillis = backMillis + random.nextInt(MAX_ZONE_GAP_MILLIS);
        }
        return changes;
    }
}
