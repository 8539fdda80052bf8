package org.teaselhook.bench.capacity;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.net.http.EventLoops;

/** A set of simulated agents that share event loops and a timer. */
final class SimulatedAgents implements AutoCloseable {

    private static final int EVENT_LOOP_THREADS = 2;

    private final EventLoops loops = EventLoops.of(EVENT_LOOP_THREADS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<SimulatedAgent> agents = new ArrayList<>();
    private final SitePlan plan;

    SimulatedAgents(SitePlan plan) {
        this.plan = plan;
    }

    /** Connects more agents to an entry. */
    void add(int count, InetSocketAddress entry) {
        for (int i = 0; i < count; i++) {
            int index = agents.size();
            SimulatedAgentPlan agent = SimulatedAgentPlan.of(index, plan.zone(index), plan.slots(), plan.service());
            agents.add(SimulatedAgent.start(agent, entry, loops.group(), timer));
        }
    }

    int size() {
        return agents.size();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        agents.forEach(SimulatedAgent::close);
        loops.close();
    }
}
