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
 * Runs events, periodic ticks and deadlines one after another on one thread, which sleeps until the next is due. Events
 * may come from any thread.
 *
 * <pre>{@code
 * ControlLoop loop = ControlLoop.start("entry", System::nanoTime, failure -> log(failure));
 * loop.every(100, state::slowTick);
 * loop.when(state::nextDeadline, state::expire);
 * loop.execute(() -> state.granted(loop.nowNanos(), agent, 1));
 * }</pre>
 */
public final class ControlLoop implements Executor, AutoCloseable {

    private static final int MAX_EVENTS_PER_TURN = 256;
    private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ManyToOneConcurrentLinkedQueue<Runnable> events = new ManyToOneConcurrentLinkedQueue<>();
    private final TickSchedule ticks = new TickSchedule();
    private final LongSupplier clock;
    private final Consumer<Throwable> onFailure;
    private final AgentRunner runner;
    private final List<Runnable> turnEnds = new ArrayList<>();
    private volatile Thread parked;

    private ControlLoop(String name, LongSupplier clock, Consumer<Throwable> onFailure) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.onFailure = Objects.requireNonNull(onFailure, "onFailure is null");
        this.runner = new AgentRunner(new Parking(), onFailure::accept, null, new Turns(name));
    }

    // -- factories

    /**
     * Starts a loop on a new daemon thread.
     *
     * @param name the thread's name
     * @param clock a monotonic clock in nanoseconds
     * @param onFailure told of exceptions that events and ticks throw; the loop goes on
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
     * Adds an event; it runs after all events added before.
     *
     * @param event the event
     */
    @Override
    public void execute(Runnable event) {
        events.offer(Objects.requireNonNull(event, "event is null"));
        Thread waiting = parked;
        if (waiting != null) {
            LockSupport.unpark(waiting);
        }
    }

    /**
     * Runs an action again and again.
     *
     * @param intervalMillis the time between the ends and starts of two runs
     * @param tick the action, given the time in nanoseconds
     */
    public void every(long intervalMillis, Consumer<Long> tick) {
        long intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        execute(() -> ticks.add(clock.getAsLong(), intervalNanos, tick));
    }

    /**
     * Runs an action whenever a deadline has come. The deadline is asked for again after each event and tick, so it may
     * move either way; an action that leaves it in the past is run again at once.
     *
     * @param deadlineNanos the next deadline on the loop's clock, {@link Long#MAX_VALUE} while there is none; asked on
     *     the loop's thread
     * @param action the action, given the time in nanoseconds
     */
    public void when(LongSupplier deadlineNanos, Consumer<Long> action) {
        Objects.requireNonNull(deadlineNanos, "deadlineNanos is null");
        Objects.requireNonNull(action, "action is null");
        execute(() -> ticks.add(deadlineNanos, action));
    }

    /**
     * Runs an action at the end of each turn, after the events that had gathered and the ticks that were due.
     *
     * @param action the action
     */
    public void afterTurn(Runnable action) {
        Objects.requireNonNull(action, "action is null");
        execute(() -> turnEnds.add(action));
    }

    /**
     * Returns the present time.
     *
     * @return the clock's nanoseconds
     */
    public long nowNanos() {
        return clock.getAsLong();
    }

    /** Ends the thread after the running event; events not yet run are dropped. */
    @Override
    public void close() {
        runner.close();
    }

    // -- the thread

    private int runEvents() {
        int done = 0;
        Runnable event = events.poll();
        while (event != null) {
            runGuarded(event);
            done++;
            event = done < MAX_EVENTS_PER_TURN ? events.poll() : null;
        }
        return done;
    }

    private void runGuarded(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | AssertionError e) {
            onFailure.accept(e);
        }
    }

    private final class Turns implements Agent {

        private final String name;

        Turns(String name) {
            this.name = name;
        }

        @Override
        public int doWork() {
            int done = runEvents();
            long now = clock.getAsLong();
            done += ticks.runDue(now, tick -> runGuarded(() -> tick.accept(now)));
            turnEnds.forEach(ControlLoop.this::runGuarded);
            return done;
        }

        @Override
        public String roleName() {
            return name;
        }
    }

    private final class Parking implements IdleStrategy {

        @Override
        public void idle(int workCount) {
            if (workCount == 0) {
                idle();
            }
        }

        @Override
        public void idle() {
            parked = Thread.currentThread();
            if (events.isEmpty()) {
                LockSupport.parkNanos(this, Math.min(MAX_PARK_NANOS, ticks.nanosUntilDue(clock.getAsLong())));
            }
            parked = null;
        }

        @Override
        public void reset() {
            parked = null;
        }
    }
}
