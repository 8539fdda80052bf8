package org.teaselhook.bench.process;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.teaselhook.net.http.EventLoops;
import org.teaselhook.standin.target.TargetBehaviour;
import org.teaselhook.standin.target.TargetServer;
import org.teaselhook.standin.target.TargetSettings;
import org.teaselhook.standin.target.TaskListener;

/** A target in this JVM that can leave its agent and be replaced. Not thread-safe. */
public final class TargetNode implements AutoCloseable {

    private static final long STOP_TIMEOUT_SECONDS = 5;

    private final EventLoops loops;
    private final TargetSettings settings;
    private final TaskListener listener;
    private final Link link;
    private TargetBehaviour behaviour;
    private TargetServer server;

    TargetNode(EventLoops loops, TargetSettings settings, TargetBehaviour behaviour, TaskListener listener, Link link) {
        this.loops = loops;
        this.settings = settings;
        this.behaviour = behaviour;
        this.listener = listener;
        this.link = link;
        this.server = start();
    }

    // -- accessors

    /**
     * Returns the name.
     *
     * @return the target's name
     */
    public String name() {
        return settings.name();
    }

    /**
     * Returns the agent's connection path to the target.
     *
     * @return the link
     */
    public Link link() {
        return link;
    }

    /**
     * Returns the number of tasks in progress.
     *
     * @return the number of tasks
     */
    public int running() {
        return server.running();
    }

    // -- commands

    /**
     * Changes the behaviour for tasks that start from now on.
     *
     * @param next the behaviour
     */
    public void behaveAs(TargetBehaviour next) {
        behaviour = next;
        server.setBehaviour(next);
    }

    /**
     * Deregisters the target from its agent; tasks that still arrive are run.
     *
     * @return a stage that completes when the agent has answered or the request has timed out
     */
    public CompletionStage<Void> leave() {
        return server.deregister();
    }

    /** Waits for running tasks for a limited time, then starts a new target of the same name, which registers. */
    public void replace() {
        server.stop()
                .toCompletableFuture()
                .completeOnTimeout(null, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
        server.close();
        server = start();
    }

    private TargetServer start() {
        TargetServer started = TargetServer.start(loops, settings, behaviour, listener);
        started.changeAddress(link.address());
        return started;
    }

    /** Closes the target immediately, including its connections. */
    @Override
    public void close() {
        server.close();
    }
}
