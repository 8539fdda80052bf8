package org.teaselhook.core.route;

import java.util.concurrent.CompletionStage;

/**
 * A source of the routing configuration.
 */
public interface RouteSource {

    /**
     * Reads the newest routing configuration without blocking. A source may delay the result for a limited time until
     * the configuration has changed since the last read. Must not be called again before the last read has completed.
     *
     * @return the result, which arrives within a bounded time; never completes exceptionally
     */
    CompletionStage<RouteRead> read();
}
