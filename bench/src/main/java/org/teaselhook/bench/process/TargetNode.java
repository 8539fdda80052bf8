package org.teaselhook.bench.process;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.teaselhook.net.http.EventLoops;
import org.teaselhook.standin.target.TargetBehaviour;
import org.teaselhook.standin.target.TargetServer;
import org.teaselhook.standin.target.TargetSettings;
import org.teaselhook.standin.target.TaskListener;

/** A target in this JVM that can leave and come back. Its methods are called by one thread. */
public final class TargetNode implements AutoCloseable {

    private static final long STOP_WAIT_SECONDS = 5;

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
     * Returns the way from the agent.
     *
     * @return the link
     */
    public Link link() {
        return link;
    }

    /**
     * Counts the tasks in progress.
     *
     * @return the number of tasks
     */
    public int running() {
        return server.running();
    }

    // -- commands

    /**
     * Changes how tasks that start from now on are treated.
     *
     * @param next the behaviour
     */
    public void behaveAs(TargetBehaviour next) {
        behaviour = next;
        server.behaveAs(next);
    }

    /**
     * Withdraws the target from its agent; it goes on running what arrives.
     *
     * @return a stage that completes when the agent has answered, or did not answer in time
     */
    public CompletionStage<Void> leave() {
        return server.leave();
    }

    /** Lets what runs end, then replaces the target by a new one of the same name, which announces itself. */
    public void comeBack() {
        server.stop()
                .toCompletableFuture()
                .completeOnTimeout(null, STOP_WAIT_SECONDS, TimeUnit.SECONDS)
                .join();
        server.close();
        server = start();
    }

    private TargetServer start() {
        TargetServer started = TargetServer.start(loops, settings, behaviour, listener);
        started.announceAt(link.address());
        return started;
    }

    /** Closes at once: connections break. */
    @Override
    public void close() {
        server.close();
    }
}
