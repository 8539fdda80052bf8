package org.teaselhook.bench.capacity;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;

import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.standin.target.TaskListener;

/** Entries as processes that are ready, each with light agents in this JVM. */
final class StartedSite implements AutoCloseable {

    private static final Duration START_WAIT = Duration.ofSeconds(60);
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;
    private static final int STATUS_OK = 200;

    private final Site site;
    private final LightAgents agents;

    private StartedSite(Site site, LightAgents agents) {
        this.site = site;
        this.agents = agents;
    }

    /** Starts a site and waits until its entries are ready. */
    static StartedSite start(SitePlan plan, int agentsPerEntry, Path directory) throws InterruptedException {
        Site site = Site.start(plan, TaskListener.none(), directory);
        StartedSite started = new StartedSite(site, new LightAgents(plan));
        try {
            for (EntryNode entry : site.entries()) {
                started.awaitLive(entry.http());
                started.agents.add(agentsPerEntry, entry.grpc().address());
            }
            site.awaitReady(START_WAIT);
        } catch (IllegalStateException e) {
            started.close();
            throw e;
        }
        return started;
    }

    private void awaitLive(InetSocketAddress entry) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + START_WAIT.toNanos();
        while (!isLive(entry)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(entry + " does not answer; see " + site.directory());
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private boolean isLive(InetSocketAddress entry) {
        HttpResult result = site.client()
                .send(entry, HttpCall.of("GET", "/live"), PROBE_TIMEOUT_MILLIS)
                .toCompletableFuture()
                .join();
        return result instanceof HttpResult.Replied replied && replied.reply().status() == STATUS_OK;
    }

    Site site() {
        return site;
    }

    LightAgents agents() {
        return agents;
    }

    @Override
    public void close() {
        agents.close();
        site.close();
    }
}
