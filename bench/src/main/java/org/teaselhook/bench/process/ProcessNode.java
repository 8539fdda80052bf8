package org.teaselhook.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A process of the system that can be killed, frozen and started again. Its output is appended to a file. Methods may
 * be called by several threads.
 *
 * <pre>{@code
 * ProcessNode node = ProcessNode.of("entry-1", List.of("entry", "--settings", path), directory);
 * node.start();
 * node.pause();    // SIGSTOP
 * node.resume();   // SIGCONT
 * node.kill();     // SIGKILL
 * }</pre>
 */
public final class ProcessNode implements AutoCloseable {

    private static final Duration KILL_WAIT = Duration.ofSeconds(5);

    private final String name;
    private final List<String> arguments;
    private final Path log;
    private Optional<Process> process = Optional.empty();
    private boolean paused;

    private ProcessNode(String name, List<String> arguments, Path log) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.arguments = List.copyOf(arguments);
        this.log = log;
    }

    // -- factories

    /**
     * Returns a process that is not started yet.
     *
     * @param name names the process and its log file
     * @param arguments the arguments of {@code teaselhook}
     * @param directory where the log file is written
     * @return the process
     */
    public static ProcessNode of(String name, List<String> arguments, Path directory) {
        return new ProcessNode(name, arguments, directory.resolve(name + ".log"));
    }

    // -- accessors

    /**
     * Returns the name.
     *
     * @return the name given at construction
     */
    public String name() {
        return name;
    }

    /**
     * Returns the file with the output of all runs.
     *
     * @return the log file
     */
    public Path log() {
        return log;
    }

    /**
     * Tells whether the process runs; a frozen one does.
     *
     * @return true if it was started and has not ended
     */
    public synchronized boolean isRunning() {
        return process.filter(Process::isAlive).isPresent();
    }

    /**
     * Tells whether the process runs and is not frozen.
     *
     * @return true if it can act
     */
    public synchronized boolean isActive() {
        return isRunning() && !paused;
    }

    /**
     * Returns the process id.
     *
     * @return the id of the present or last run
     * @throws IllegalStateException if the process was never started
     */
    public synchronized long pid() {
        return process.map(Process::pid).orElseThrow(() -> new IllegalStateException(name + " was never started"));
    }

    /**
     * Returns what the present run has used.
     *
     * @return the usage
     * @throws UncheckedIOException if the process does not run
     */
    public ProcessUsage usage() {
        return ProcessUsage.of(pid());
    }

    // -- commands

    /**
     * Starts the process unless it runs already, as after two faults of which the first has ended.
     *
     * @return true if it was started
     * @throws UncheckedIOException if it cannot be started
     */
    public synchronized boolean startUnlessRunning() {
        if (isRunning()) {
            return false;
        }
        start();
        return true;
    }

    /**
     * Starts the process, which must not be running.
     *
     * @throws IllegalStateException if it runs
     * @throws UncheckedIOException if it cannot be started
     */
    public synchronized void start() {
        if (isRunning()) {
            throw new IllegalStateException(name + " is running");
        }
        try {
            Process started = new ProcessBuilder(JavaCommand.of(arguments))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            RunningProcesses.add(started);
            process = Optional.of(started);
            paused = false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends the process by SIGKILL, also when frozen, and waits until it is gone. */
    public synchronized void kill() {
        process.ifPresent(Process::destroyForcibly);
        awaitExit(KILL_WAIT);
        paused = false;
    }

    /** Asks the process to stop gracefully by SIGTERM; does not wait. */
    public synchronized void terminate() {
        process.ifPresent(Process::destroy);
    }

    /** Freezes the process by SIGSTOP. */
    public synchronized void pause() {
        signal("STOP");
        paused = true;
    }

    /** Lets a frozen process go on by SIGCONT. */
    public synchronized void resume() {
        signal("CONT");
        paused = false;
    }

    /**
     * Waits until the process has ended.
     *
     * @param timeout the longest wait
     * @return true if it has ended
     */
    public boolean awaitExit(Duration timeout) {
        try {
            Optional<Process> present = present();
            return present.isEmpty() || present.get().waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Kills the process if it runs. */
    @Override
    public void close() {
        kill();
    }

    private synchronized Optional<Process> present() {
        return process;
    }

    private void signal(String signal) {
        if (!isRunning()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-s", signal, Long.toString(pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
