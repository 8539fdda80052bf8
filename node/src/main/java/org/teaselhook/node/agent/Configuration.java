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
 * @param document the document as received from an entry; version 0 while none is known
 * @param rules the rules parsed from the document
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

    /** Parses a document; returns empty if it is not newer than this configuration, or is invalid. */
    Optional<Configuration> parseIfNewer(ConfigDocument candidate) {
        if (candidate.getVersion() <= version()) {
            return Optional.empty();
        }
        return RulesParser.parse(candidate.getText())
                .fold(rules -> Optional.of(new Configuration(candidate, rules)), this::rejected);
    }

    private Optional<Configuration> rejected(List<RuleFault> faults) {
        return Optional.empty();
    }
}
