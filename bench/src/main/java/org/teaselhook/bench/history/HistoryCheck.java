package org.teaselhook.bench.history;

import java.util.stream.Stream;

/** One property of a history. */
@FunctionalInterface
interface HistoryCheck {

    /**
     * Finds where the property does not hold.
     *
     * @param history the history
     * @return the violations
     */
    Stream<Violation> violations(History history);
}
