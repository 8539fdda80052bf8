package org.teaselhook.bench.process;

import java.util.OptionalLong;

/**
 * What an operator was told about a change.
 *
 * @param version the version under which the change holds; empty if it was refused or its fate is unknown
 * @param changed whether the change made that version, rather than finding it made before
 * @param detail the response
 */
public record ChangeResult(OptionalLong version, boolean changed, String detail) {}
