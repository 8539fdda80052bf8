package org.teaselhook.node.entry;

import org.teaselhook.core.outcome.Outcome;

/**
 * An outcome with the name under which the submission can be looked up.
 *
 * @param name the name
 * @param outcome the outcome
 */
record NamedOutcome(String name, Outcome outcome) {}
