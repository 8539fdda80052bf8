package org.teaselhook.node.config;

import java.util.List;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.rules.RuleFault;
import org.teaselhook.core.rules.RulesDiff;

/**
 * The result of a configuration change.
 */
public sealed interface ApplyResult
        permits ApplyResult.Applied,
                ApplyResult.Unchanged,
                ApplyResult.Rejected,
                ApplyResult.Conflict,
                ApplyResult.OperationReused,
                ApplyResult.Unsettled {

    /**
     * The change is accepted.
     *
     * @param record the version that the operation applied
     * @param repeated true if the operation had been applied before; nothing was applied again
     */
    record Applied(ConfigRecord record, boolean repeated) implements ApplyResult {}

    /**
     * The current rules file already has the requested content.
     *
     * @param version the current version
     */
    record Unchanged(ConfigVersion version) implements ApplyResult {}

    /**
     * The document has invalid lines; nothing changed.
     *
     * @param faults all faults
     */
    record Rejected(List<RuleFault> faults) implements ApplyResult {
        /** Copies the list. */
        public Rejected {
            faults = List.copyOf(faults);
        }
    }

    /**
     * The current version is not the expected one. Nothing changed, and no earlier attempt of this operation can still
     * take effect.
     *
     * @param winner the current version
     * @param difference the difference from the expected version to the current one
     */
    record Conflict(ConfigRecord winner, RulesDiff difference) implements ApplyResult {}

    /**
     * The operation's id was used for another request; nothing changed.
     *
     * @param version the version that the other request applied
     */
    record OperationReused(ConfigVersion version) implements ApplyResult {}

    /**
     * The table service did not answer. The change may have been accepted or may still be; a retry with the same
     * operation id resolves the outcome.
     *
     * @param reason the failure of the last attempt
     */
    record Unsettled(String reason) implements ApplyResult {}
}
