package org.teaselhook.bench.capacity;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.net.http.EventLoops;

/** Light agents that share traffic threads and a timer. */
final class LightAgents implements AutoCloseable {

    private static final int TRAFFIC_THREADS = 2;

    private final EventLoops loops = EventLoops.of(TRAFFIC_THREADS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<LightAgent> agents = new ArrayList<>();
    private final SitePlan plan;

    LightAgents(SitePlan plan) {
        this.plan = plan;
    }

    /** Connects more agents to an entry. */
    void add(int count, InetSocketAddress entry) {
        for (int i = 0; i < count; i++) {
            int index = agents.size();
            LightAgentPlan agent = LightAgentPlan.of(index, plan.zone(index), plan.slots(), plan.service());
            agents.add(LightAgent.start(agent, entry, loops.group(), timer));
        }
    }

    int size() {
        return agents.size();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        agents.forEach(LightAgent::close);
        loops.close();
    }
}
