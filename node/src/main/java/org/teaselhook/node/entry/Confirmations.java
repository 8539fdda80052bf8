package org.teaselhook.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.config.ConfigVersion;

/**
 * Waits until another entry has confirmed a version. Confined to the control thread.
 */
final class Confirmations {

    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(ConfigVersion version, CompletableFuture<Void> confirmed) {}

    /** Completes once another entry names the version or a newer one. */
    CompletionStage<Void> of(ConfigVersion version) {
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        waiting.add(new Waiting(version, confirmed));
        return confirmed;
    }

    /** Another entry names a version. */
    void confirmed(ConfigVersion version) {
        List<Waiting> done = waiting.stream()
                .filter(each -> !version.isOlderThan(each.version()))
                .toList();
        waiting.removeAll(done);
        done.forEach(each -> each.confirmed().complete(null));
    }
}
