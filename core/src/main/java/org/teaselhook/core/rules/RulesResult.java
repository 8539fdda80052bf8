package org.teaselhook.core.rules;

import java.util.List;
import java.util.function.Function;

/**
 * Checked rules, or every fault of them.
 */
public sealed interface RulesResult permits RulesResult.Accepted, RulesResult.Rejected {

    /**
     * Applies the function for this case.
     *
     * @param <T> the result type
     * @param accepted applied to the rules
     * @param rejected applied to the faults
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
     * Every line is sound.
     *
     * @param rules the rules
     */
    record Accepted(Rules rules) implements RulesResult {}

    /**
     * Some line is not sound.
     *
     * @param faults all faults in the order of lines, at least one
     */
    record Rejected(List<RuleFault> faults) implements RulesResult {
        /** Copies the list. */
        public Rejected {
            faults = List.copyOf(faults);
        }
    }
}
