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

/** A site of entry processes under measurement, each connected to simulated agents in this JVM. */
final class EntryTestbed implements AutoCloseable {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;
    private static final int HTTP_OK = 200;

    private final Site site;
    private final SimulatedAgents agents;

    private EntryTestbed(Site site, SimulatedAgents agents) {
        this.site = site;
        this.agents = agents;
    }

    /** Starts a site and waits until its entries are ready. */
    static EntryTestbed start(SitePlan plan, int agentsPerEntry, Path directory) throws InterruptedException {
        Site site = Site.start(plan, TaskListener.none(), directory);
        EntryTestbed testbed = new EntryTestbed(site, new SimulatedAgents(plan));
        try {
            for (EntryNode entry : site.entries()) {
                testbed.awaitLive(entry.http());
                testbed.agents.add(agentsPerEntry, entry.grpc().address());
            }
            site.awaitReady(START_TIMEOUT);
        } catch (IllegalStateException e) {
            testbed.close();
            throw e;
        }
        return testbed;
    }

    private void awaitLive(InetSocketAddress entry) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!isLive(entry)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(entry + " does not answer; logs are in " + site.directory());
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private boolean isLive(InetSocketAddress entry) {
        HttpResult result = site.client()
                .send(entry, HttpCall.of("GET", "/live"), PROBE_TIMEOUT_MILLIS)
                .toCompletableFuture()
                .join();
        return result instanceof HttpResult.Replied replied && replied.reply().status() == HTTP_OK;
    }

    Site site() {
        return site;
    }

    SimulatedAgents agents() {
        return agents;
    }

    @Override
    public void close() {
        agents.close();
        site.close();
    }
}
