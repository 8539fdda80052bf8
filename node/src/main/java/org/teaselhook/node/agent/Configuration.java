package org.teaselhook.node.agent;

import java.util.List;
import java.util.Optional;

import org.teaselhook.core.rules.RuleFault;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.core.rules.RulesParser;

/**
 * The newest configuration that an agent has seen.
 *
 * @param version the version; 0 while none is known
 * @param rules the rules
 */
record Configuration(long version, Rules rules) {

    private static final Configuration UNKNOWN = new Configuration(0, Rules.empty());

    static Configuration unknown() {
        return UNKNOWN;
    }

    boolean isKnown() {
        return version > 0;
    }

    /** Returns the configuration of a document, or empty if it is not newer than this one or not sound. */
    Optional<Configuration> newer(long otherVersion, String text) {
        if (otherVersion <= version) {
            return Optional.empty();
        }
        return RulesParser.parse(text).fold(rules -> Optional.of(new Configuration(otherVersion, rules)), this::none);
    }

    private Optional<Configuration> none(List<RuleFault> faults) {
        return Optional.empty();
    }
}
