package org.teaselhook.bench.capacity;

import java.util.Arrays;
import java.util.Optional;

/** The parts of the capacity measurement, each of which can run alone. */
public enum CapacityPart {
    /** Resource usage of an entry by the number of connected agents. */
    ENTRY_AGENTS("entry-agents") {
        @Override
        void run(CapacityRun run) throws Exception {
            new EntryAgents(run).run();
        }
    },
    /** Resource usage of an agent by the number of connected entries. */
    AGENT_ENTRIES("agent-entries") {
        @Override
        void run(CapacityRun run) throws Exception {
            new AgentEntries(run).run();
        }
    },
    /** Resource usage of an agent by the rate of tasks. */
    AGENT_TASKS("agent-tasks") {
        @Override
        void run(CapacityRun run) throws Exception {
            new AgentTasks(run).run();
        }
    },
    /** Load on the table service by the number of idle entries and by the rate of submissions with claims. */
    TABLE("table") {
        @Override
        void run(CapacityRun run) throws Exception {
            new IdleEntries(run, label(), 1, 3, 6).run();
            new TaskRates(run, label()).runClaimed();
        }
    },
    /** Resource usage of an entry by the number of its peers. */
    PEERS("peers") {
        @Override
        void run(CapacityRun run) throws Exception {
            new IdleEntries(run, label(), 2, 4, 8).run();
        }
    },
    /** Resource usage of an entry by the rate of tasks, as single requests and in jobs. */
    TASKS("tasks") {
        @Override
        void run(CapacityRun run) throws Exception {
            new TaskRates(run, label()).runSingle();
            new TaskRates(run, label()).runJobs();
        }
    },
    /** Cost of the decision functions by the numbers of workers, waiting tasks and entries. */
    DECISIONS("decisions") {
        @Override
        void run(CapacityRun run) throws Exception {
            new DecisionBenchmarks(run).run();
        }
    };

    private final String label;

    CapacityPart(String label) {
        this.label = label;
    }

    /**
     * Returns the name on the command line.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Finds a part by its name.
     *
     * @param label the name on the command line
     * @return the part, or empty if there is none with that name
     */
    public static Optional<CapacityPart> of(String label) {
        return Arrays.stream(values()).filter(part -> part.label.equals(label)).findFirst();
    }

    abstract void run(CapacityRun run) throws Exception;
}
