package org.teaselhook.bench.history;

import java.util.List;
import java.util.Objects;

/**
 * A violation of a guarantee, with the events that prove it.
 *
 * @param kind the violated guarantee
 * @param evidence the events that prove it, in chronological order
 */
public record Violation(ViolationKind kind, List<HistoryEvent> evidence) {

    /** Copies the evidence. */
    public Violation {
        Objects.requireNonNull(kind, "kind is null");
        evidence = List.copyOf(evidence);
    }

    /**
     * Returns a violation.
     *
     * @param kind the violated guarantee
     * @param evidence the events that prove it, in chronological order
     * @return the violation
     */
    public static Violation of(ViolationKind kind, HistoryEvent... evidence) {
        return new Violation(kind, List.of(evidence));
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(kind.name()).append(": ").append(kind.message());
        evidence.forEach(
                event -> text.append(System.lineSeparator()).append("    ").append(event));
        return text.toString();
    }
}
