package org.teaselhook.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.config.ConfigVersion;

/**
 * Completes stages once another entry has confirmed a configuration version. Confined to the control thread.
 */
final class Confirmations {

    private final List<Waiter> waiters = new ArrayList<>();

    private record Waiter(ConfigVersion version, CompletableFuture<Void> confirmed) {}

    /** Returns a stage that completes once another entry reports the version or a newer one. */
    CompletionStage<Void> await(ConfigVersion version) {
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        waiters.add(new Waiter(version, confirmed));
        return confirmed;
    }

    /** Records that another entry reported a version. */
    void versionConfirmed(ConfigVersion version) {
        List<Waiter> done = waiters.stream()
                .filter(waiter -> !version.isOlderThan(waiter.version()))
                .toList();
        waiters.removeAll(done);
        done.forEach(waiter -> waiter.confirmed().complete(null));
    }
}
