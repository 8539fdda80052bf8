package org.teaselhook.core.lease;

import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;

/**
 * Handles results on the thread that owns the state.
 */
public interface ControlThread {

    /**
     * Handles a result on the control thread once it is available.
     *
     * @param <T> the result's type
     * @param stage completes with the result, on any thread
     * @param handler receives the time at which it is called, in nanoseconds, and the result
     */
    <T> void handle(CompletionStage<T> stage, BiConsumer<Long, T> handler);
}
