package org.teaselhook.bench.history;

import java.util.stream.Stream;

/** A check of one property of a history. */
@FunctionalInterface
interface HistoryCheck {

    /**
     * Finds the violations of the property.
     *
     * @param history the history
     * @return the violations; empty if the property holds
     */
    Stream<Violation> violations(History history);
}
