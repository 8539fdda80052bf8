package org.teaselhook.core.rules;

import java.util.List;
import java.util.function.Function;

/**
 * The result of parsing a rules file: validated rules, or all faults.
 */
public sealed interface RulesResult permits RulesResult.Accepted, RulesResult.Rejected {

    /**
     * Applies the function for the actual case.
     *
     * @param <T> the type of the result
     * @param accepted the function applied to the rules
     * @param rejected the function applied to the faults
     * @return the function's result
     */
    default <T> T fold(
            Function<? super Rules, ? extends T> accepted, Function<? super List<RuleFault>, ? extends T> rejected) {
        if (this instanceof Accepted a) {
            return accepted.apply(a.rules());
        }
        return rejected.apply(((Rejected) this).faults());
    }

    /**
     * Every line is valid.
     *
     * @param rules the rules
     */
    record Accepted(Rules rules) implements RulesResult {}

    /**
     * At least one line is not valid.
     *
     * @param faults all faults in the order of the lines, at least one
     */
    record Rejected(List<RuleFault> faults) implements RulesResult {
        /** Copies the list. */
        public Rejected {
            faults = List.copyOf(faults);
        }
    }
}
