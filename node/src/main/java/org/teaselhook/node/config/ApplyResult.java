package org.teaselhook.node.config;

import java.util.List;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.rules.RuleFault;
import org.teaselhook.core.rules.RulesDiff;

/**
 * What became of a change of the configuration.
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
     * The current rules file already says what was asked.
     *
     * @param version the current version
     */
    record Unchanged(ConfigVersion version) implements ApplyResult {}

    /**
     * The document has bad lines; nothing changed.
     *
     * @param faults every fault
     */
    record Rejected(List<RuleFault> faults) implements ApplyResult {
        /** Copies the list. */
        public Rejected {
            faults = List.copyOf(faults);
        }
    }

    /**
     * Another version is current than the one expected; nothing changed, and nothing will by this operation's past
     * attempts.
     *
     * @param winner the current version
     * @param difference what changed from the expected version to the current one
     */
    record Conflict(ConfigRecord winner, RulesDiff difference) implements ApplyResult {}

    /**
     * The operation's id belongs to another request; nothing changed.
     *
     * @param version the version that the other request applied
     */
    record OperationReused(ConfigVersion version) implements ApplyResult {}

    /**
     * The table service did not answer; the change may have been accepted or may still be. Another try under the same
     * operation id settles it.
     *
     * @param reason what was seen
     */
    record Unsettled(String reason) implements ApplyResult {}
}
