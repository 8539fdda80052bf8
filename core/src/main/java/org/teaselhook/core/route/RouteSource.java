package org.teaselhook.core.route;

import java.util.concurrent.CompletionStage;

/**
 * Where the operators' decisions are read.
 */
public interface RouteSource {

    /**
     * Reads the newest decisions. Does not block. A source that can may answer only when they have changed since the
     * last read, or after a while. To be called again when the last read has completed.
     *
     * @return what was read, within a bounded time; never completes exceptionally
     */
    CompletionStage<RouteRead> read();
}
