package org.teaselhook.core.lease;

import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;

/**
 * Brings results back to the thread that owns the state.
 */
public interface ControlThread {

    /**
     * Handles a result on the control thread, with the time at which it is handled.
     *
     * @param <T> the result's type
     * @param stage completes with the result, on any thread
     * @param handler given the present time in nanoseconds and the result
     */
    <T> void handle(CompletionStage<T> stage, BiConsumer<Long, T> handler);
}
