package org.teaselhook.core.lease;

import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/** Handles a result immediately on the completing thread, at the time given by the test. */
record ImmediateControl(LongSupplier clock) implements ControlThread {

    @Override
    public <T> void handle(CompletionStage<T> stage, BiConsumer<Long, T> handler) {
        stage.thenAccept(result -> handler.accept(clock.getAsLong(), result));
    }
}
