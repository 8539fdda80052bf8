package org.teaselhook.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.agrona.concurrent.Agent;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.IdleStrategy;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;

/**
 * An event loop that runs events, periodic ticks and deadlines sequentially on one thread, which parks until the next
 * one is due. Events may be submitted from any thread.
 *
 * <pre>{@code
 * ControlLoop loop = ControlLoop.start("entry", System::nanoTime, failure -> log(failure));
 * loop.every(100, state::slowTick);
 * loop.atDeadline(state::nextDeadline, state::expire);
 * loop.execute(() -> state.granted(loop.nowNanos(), agent, 1));
 * }</pre>
 */
public final class ControlLoop implements Executor, AutoCloseable {

    private static final int MAX_EVENTS_PER_ITERATION = 256;
    private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ManyToOneConcurrentLinkedQueue<Runnable> events = new ManyToOneConcurrentLinkedQueue<>();
    private final TickSchedule ticks = new TickSchedule();
    private final LongSupplier clock;
    private final Consumer<Throwable> onFailure;
    private final AgentRunner runner;
    private final List<Runnable> iterationEndActions = new ArrayList<>();
    private final List<Runnable> guards = new ArrayList<>();
    private volatile Thread parkedThread;

    private ControlLoop(String name, LongSupplier clock, Consumer<Throwable> onFailure) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.onFailure = Objects.requireNonNull(onFailure, "onFailure is null");
        this.runner = new AgentRunner(new ParkingIdleStrategy(), onFailure::accept, null, new LoopAgent(name));
    }

    // -- factories

    /**
     * Starts a loop on a new daemon thread.
     *
     * @param name the thread's name
     * @param clock a monotonic clock in nanoseconds
     * @param onFailure receives exceptions thrown by events and ticks; the loop continues
     * @return the running loop
     */
    public static ControlLoop start(String name, LongSupplier clock, Consumer<Throwable> onFailure) {
        ControlLoop loop = new ControlLoop(name, clock, onFailure);
        AgentRunner.startOnThread(loop.runner, ControlLoop::daemonThread);
        return loop;
    }

    private static Thread daemonThread(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        return thread;
    }

    // -- events

    /**
     * Adds an event to the queue; events run in the order in which they were added.
     *
     * @param event the event
     */
    @Override
    public void execute(Runnable event) {
        events.offer(Objects.requireNonNull(event, "event is null"));
        Thread thread = parkedThread;
        if (thread != null) {
            LockSupport.unpark(thread);
        }
    }

    /**
     * Runs an action periodically.
     *
     * @param intervalMillis the time from one run to the next
     * @param tick the action, given the time in nanoseconds
     */
    public void every(long intervalMillis, Consumer<Long> tick) {
        long intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        execute(() -> ticks.add(clock.getAsLong(), intervalNanos, tick));
    }

    /**
     * Runs an action whenever a deadline has passed. The deadline is read again in each iteration, so it may move
     * either way; an action that leaves it in the past runs again in the next iteration.
     *
     * @param deadlineNanos the next deadline on the loop's clock, {@link Long#MAX_VALUE} while there is none; read on
     *     the loop's thread
     * @param action the action, given the time in nanoseconds
     */
    public void atDeadline(LongSupplier deadlineNanos, Consumer<Long> action) {
        Objects.requireNonNull(deadlineNanos, "deadlineNanos is null");
        Objects.requireNonNull(action, "action is null");
        execute(() -> ticks.add(deadlineNanos, action));
    }

    /**
     * Runs an action before each event and tick.
     *
     * @param action the action
     */
    public void beforeEach(Runnable action) {
        Objects.requireNonNull(action, "action is null");
        execute(() -> guards.add(action));
    }

    /**
     * Runs an action at the end of each iteration, after the queued events and the ticks that were due.
     *
     * @param action the action
     */
    public void afterIteration(Runnable action) {
        Objects.requireNonNull(action, "action is null");
        execute(() -> iterationEndActions.add(action));
    }

    /**
     * Returns the current time.
     *
     * @return the time on the loop's clock, in nanoseconds
     */
    public long nowNanos() {
        return clock.getAsLong();
    }

    /** Stops the thread after the running event; queued events are dropped. */
    @Override
    public void close() {
        runner.close();
    }

    // -- loop thread

    private int runEvents() {
        int done = 0;
        Runnable event = events.poll();
        while (event != null) {
            runEvent(event);
            done++;
            event = done < MAX_EVENTS_PER_ITERATION ? events.poll() : null;
        }
        return done;
    }

    private void runEvent(Runnable event) {
        guards.forEach(this::runGuarded);
        runGuarded(event);
    }

    private void runGuarded(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | AssertionError e) {
            onFailure.accept(e);
        }
    }

    private final class LoopAgent implements Agent {

        private final String name;

        LoopAgent(String name) {
            this.name = name;
        }

        @Override
        public int doWork() {
            int done = runEvents();
            long now = clock.getAsLong();
            done += ticks.runDue(now, tick -> runEvent(() -> tick.accept(now)));
            iterationEndActions.forEach(ControlLoop.this::runGuarded);
            return done;
        }

        @Override
        public String roleName() {
            return name;
        }
    }

    private final class ParkingIdleStrategy implements IdleStrategy {

        @Override
        public void idle(int workCount) {
            if (workCount == 0) {
                idle();
            }
        }

        @Override
        public void idle() {
            parkedThread = Thread.currentThread();
            if (events.isEmpty()) {
                LockSupport.parkNanos(this, Math.min(MAX_PARK_NANOS, ticks.nanosUntilDue(clock.getAsLong())));
            }
            parkedThread = null;
        }

        @Override
        public void reset() {
            parkedThread = null;
        }
    }
}
