package org.teaselhook.core.lease;

import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/** Handles a result where it is completed, at the time of the test. */
record ImmediateControl(LongSupplier clock) implements ControlThread {

    @Override
    public <T> void handle(CompletionStage<T> stage, BiConsumer<Long, T> handler) {
        stage.thenAccept(result -> handler.accept(clock.getAsLong(), result));
    }
}
