package org.teaselhook.bench.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * A whole site: a table service stand-in and targets in this JVM, entries and agents as processes. Closing it ends all
 * processes.
 *
 * <pre>{@code
 * try (Site site = Site.start(SitePlan.standard(), directory)) {
 *     site.awaitReady(Duration.ofSeconds(20));
 *     site.entries().get(0).process().kill();
 * }
 * }</pre>
 */
public interface Site extends AutoCloseable {

    /**
     * Returns the entries.
     *
     * @return the entries in the order of their index
     */
    List<EntryNode> entries();

    /**
     * Returns the agents.
     *
     * @return the agents in the order of their index
     */
    List<AgentNode> agents();

    /**
     * Returns the directory of settings and log files.
     *
     * @return the directory
     */
    Path directory();

    /**
     * Waits until every process is ready.
     *
     * @param timeout the longest wait in total
     * @throws IllegalStateException if a process is not ready in time, naming its log file
     * @throws InterruptedException if the thread is interrupted
     */
    void awaitReady(Duration timeout) throws InterruptedException;

    /** Ends every process, relay and stand-in. */
    @Override
    void close();
}
