package org.teaselhook.bench.capacity;

import java.util.List;
import java.util.stream.LongStream;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.teaselhook.core.admission.Admission;
import org.teaselhook.core.admission.AdmissionDecision;
import org.teaselhook.core.admission.StartConditions;
import org.teaselhook.core.admission.StartRequest;
import org.teaselhook.core.grant.GrantChange;
import org.teaselhook.core.grant.SlotAllocator;
import org.teaselhook.core.id.Incarnation;

/** Benchmarks an agent's decisions for different numbers of connected entries. */
@State(Scope.Thread)
public class AgentBenchmark {

    private static final int SLOTS = 8;
    private static final Incarnation AGENT = Incarnation.of(1);
    private static final long START_NANOS = 1_000_000_000L;
    private static final StartConditions CONDITIONS = new StartConditions(1, false, false, true, SLOTS);

    /** The number of entries. */
    @Param({"3", "12", "48", "192"})
    public int entries;

    private List<Incarnation> incarnations;
    private Admission admission;
    private SlotAllocator allocator;
    private long now = START_NANOS;
    private long number;

    /** Creates the benchmark. Called by JMH. */
    public AgentBenchmark() {
        // The state is set up in connect().
    }

    /** Connects every entry. */
    @Setup
    public void connect() {
        incarnations =
                LongStream.rangeClosed(1, entries).mapToObj(Incarnation::of).toList();
        admission = Admission.of(AGENT);
        allocator = SlotAllocator.of(SLOTS);
        allocator.allowGrants(true);
        incarnations.forEach(allocator::connect);
        allocator.allocate(now);
    }

    /**
     * Decides on the start of one task, and processes the acknowledgement.
     *
     * @return the decision
     */
    @Benchmark
    public AdmissionDecision admission() {
        now++;
        number++;
        Incarnation entry = incarnations.get((int) (number % entries));
        AdmissionDecision decision =
                admission.decide(new StartRequest(entry, number, AGENT, now, now + START_NANOS, 1), CONDITIONS, now);
        admission.acknowledge(entry, number);
        return decision;
    }

    /**
     * Starts a task on a granted slot, finishes it and grants the free slot again.
     *
     * @return the grant changes to send to the entries
     */
    @Benchmark
    public List<GrantChange> grants() {
        now++;
        number++;
        Incarnation entry = nextEntryWithGrant();
        allocator.start(entry, true);
        allocator.finish(entry);
        return allocator.allocate(now);
    }

    private Incarnation nextEntryWithGrant() {
        Incarnation entry = incarnations.get((int) (number % entries));
        while (allocator.granted(entry) == 0) {
            number++;
            entry = incarnations.get((int) (number % entries));
        }
        return entry;
    }
}
