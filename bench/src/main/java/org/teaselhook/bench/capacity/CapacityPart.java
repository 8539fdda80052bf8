package org.teaselhook.bench.capacity;

import java.util.Arrays;
import java.util.Optional;

/** What can be measured by itself. */
public enum CapacityPart {
    /** An entry against the number of agents connected to it. */
    ENTRY_AGENTS("entry-agents") {
        @Override
        void run(CapacityRun run) throws Exception {
            new EntryAgents(run).run();
        }
    },
    /** An agent against the number of entries that it is connected to. */
    AGENT_ENTRIES("agent-entries") {
        @Override
        void run(CapacityRun run) throws Exception {
            new AgentEntries(run).run();
        }
    },
    /** An agent against the rate of tasks. */
    AGENT_TASKS("agent-tasks") {
        @Override
        void run(CapacityRun run) throws Exception {
            new AgentTasks(run).run();
        }
    },
    /** The table service against the number of idle entries and the rate of claimed submissions. */
    TABLE("table") {
        @Override
        void run(CapacityRun run) throws Exception {
            new IdleEntries(run, label(), 1, 3, 6).run();
            new TaskRates(run, label()).runClaimed();
        }
    },
    /** An entry against the number of other entries. */
    PEERS("peers") {
        @Override
        void run(CapacityRun run) throws Exception {
            new IdleEntries(run, label(), 2, 4, 8).run();
        }
    },
    /** An entry against the rate of tasks, singly and in jobs. */
    TASKS("tasks") {
        @Override
        void run(CapacityRun run) throws Exception {
            new TaskRates(run, label()).runSingle();
            new TaskRates(run, label()).runJobs();
        }
    },
    /** The deciding functions against the numbers of workers, waiting tasks and entries. */
    DECISIONS("decisions") {
        @Override
        void run(CapacityRun run) throws Exception {
            new Decisions(run).run();
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
     * @return the part, or empty if there is none of that name
     */
    public static Optional<CapacityPart> of(String label) {
        return Arrays.stream(values()).filter(part -> part.label.equals(label)).findFirst();
    }

    abstract void run(CapacityRun run) throws Exception;
}
