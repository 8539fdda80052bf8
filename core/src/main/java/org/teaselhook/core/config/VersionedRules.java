package org.teaselhook.core.config;

import java.util.Objects;

import org.teaselhook.core.rules.Rules;

/**
 * An accepted rules file with its version.
 *
 * @param version its version
 * @param text its complete text
 * @param operation the id of the operation that applied it; empty for none
 * @param rules the rules parsed from the text
 */
public record VersionedRules(ConfigVersion version, String text, String operation, Rules rules) {

    private static final VersionedRules NONE = new VersionedRules(ConfigVersion.NONE, "", "", Rules.empty());

    /** Checks that no component is null. */
    public VersionedRules {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(text, "text is null");
        Objects.requireNonNull(operation, "operation is null");
        Objects.requireNonNull(rules, "rules is null");
    }

    /**
     * Returns the state before any rules file was accepted.
     *
     * @return version 0 without rules
     */
    public static VersionedRules none() {
        return NONE;
    }
}
