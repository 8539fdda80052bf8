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

/** An agent's decisions against the number of entries that it is connected to. */
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
    private SlotAllocator sharing;
    private long now = START_NANOS;
    private long number;

    /** Creates the benchmark, which its harness does. */
    public AgentBenchmark() {
        // Set up by the harness.
    }

    /** Connects every entry. */
    @Setup
    public void connect() {
        incarnations =
                LongStream.rangeClosed(1, entries).mapToObj(Incarnation::of).toList();
        admission = Admission.of(AGENT);
        sharing = SlotAllocator.of(SLOTS);
        sharing.allowGrants(true);
        incarnations.forEach(sharing::connect);
        sharing.allocate(now);
    }

    /**
     * One decision at the instant of start, and its acknowledgement.
     *
     * @return the decision
     */
    @Benchmark
    public AdmissionDecision admission() {
        now++;
        number++;
        Incarnation entry = incarnations.get((int) (number % entries));
        AdmissionDecision verdict =
                admission.decide(new StartRequest(entry, number, AGENT, now, now + START_NANOS, 1), CONDITIONS, now);
        admission.acknowledge(entry, number);
        return verdict;
    }

    /**
     * One task's way through the slots: start on a grant, end, and the grant of the slot that is free again.
     *
     * @return what to tell the entries
     */
    @Benchmark
    public List<GrantChange> grants() {
        now++;
        number++;
        Incarnation entry = nextGranted();
        sharing.start(entry, true);
        sharing.finish(entry);
        return sharing.allocate(now);
    }

    private Incarnation nextGranted() {
        Incarnation entry = incarnations.get((int) (number % entries));
        while (sharing.granted(entry) == 0) {
            number++;
            entry = incarnations.get((int) (number % entries));
        }
        return entry;
    }
}
