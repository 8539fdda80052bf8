package org.teaselhook.core.lease;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * The calls to the worker. Each of its incarnations is called with a higher fencing token, so that it ignores calls to
 * earlier ones; answers to calls to an incarnation that has ended are ignored here. Confined to the control thread.
 */
final class FencedCalls {

    /** Added to the token when the worker has seen a higher one, as after an agent whose clock was fast. */
    private static final long TOKEN_INCREMENT = TimeUnit.HOURS.toMillis(1);

    private final WorkerCalls calls;
    private final ControlThread control;
    private long token;
    private long incarnation;

    FencedCalls(long firstToken, WorkerCalls calls, ControlThread control) {
        this.token = firstToken;
        this.calls = Objects.requireNonNull(calls, "calls is null");
        this.control = Objects.requireNonNull(control, "control is null");
    }

    // -- incarnations

    /** Returns the number of the worker's present incarnation. */
    long incarnation() {
        return incarnation;
    }

    /** Returns the token of the next call. */
    long token() {
        return token;
    }

    void beginIncarnation() {
        incarnation++;
        token++;
    }

    /** Raises the token above one that the worker has seen and this agent does not know, and returns it. */
    long raiseToken() {
        token += TOKEN_INCREMENT;
        return token;
    }

    // -- calls

    void start(
            WorkerReport worker,
            RunId run,
            RunRequest request,
            long leaseUntil,
            BiConsumer<Long, StartResult> handler) {
        handle(calls.start(worker, run, request.spec(), leaseUntil, token, request.startBy()), handler);
    }

    void stop(WorkerReport worker, RunId run, BiConsumer<Long, StopResult> handler) {
        handle(calls.stop(worker, run, token), handler);
    }

    void poll(
            WorkerReport worker,
            OptionalLong leaseUntil,
            long acknowledged,
            long waitMillis,
            BiConsumer<Long, PollResult> handler) {
        handle(calls.poll(worker, leaseUntil, token, acknowledged, waitMillis), handler);
    }

    private <T> void handle(CompletionStage<T> answer, BiConsumer<Long, T> handler) {
        long called = incarnation;
        control.handle(answer, (nowNanos, result) -> {
            if (called == incarnation) {
                handler.accept(nowNanos, result);
            }
        });
    }
}
