package org.teaselhook.bench.process;

import java.util.OptionalLong;

/**
 * The result of an operator's configuration change.
 *
 * @param version the configuration version that contains the change; empty if it was refused or its outcome is unknown
 * @param changed whether this request created that version; false if the change was already in effect
 * @param detail the body of the response
 */
public record ChangeResult(OptionalLong version, boolean changed, String detail) {}
