package org.teaselhook.core.route;

import java.util.concurrent.CompletionStage;

/**
 * Where the operators' decisions are read.
 */
public interface RouteSource {

    /**
     * Reads the newest decisions. Does not block.
     *
     * @return what was read, within a bounded time; never completes exceptionally
     */
    CompletionStage<RouteRead> read();
}
