package org.teaselhook.node.agent;

import java.util.List;
import java.util.Optional;

import org.teaselhook.core.rules.RuleFault;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.core.rules.RulesParser;
import org.teaselhook.wire.ConfigDocument;

/**
 * The newest configuration that an agent has seen.
 *
 * @param document what an entry sent; version 0 while none is known
 * @param rules the rules
 */
record Configuration(ConfigDocument document, Rules rules) {

    private static final Configuration UNKNOWN = new Configuration(ConfigDocument.getDefaultInstance(), Rules.empty());

    static Configuration unknown() {
        return UNKNOWN;
    }

    long version() {
        return document.getVersion();
    }

    boolean isKnown() {
        return version() > 0;
    }

    /** Returns the configuration of a document, or empty if it is not newer than this one or not sound. */
    Optional<Configuration> newer(ConfigDocument other) {
        if (other.getVersion() <= version()) {
            return Optional.empty();
        }
        return RulesParser.parse(other.getText())
                .fold(rules -> Optional.of(new Configuration(other, rules)), this::none);
    }

    private Optional<Configuration> none(List<RuleFault> faults) {
        return Optional.empty();
    }
}
