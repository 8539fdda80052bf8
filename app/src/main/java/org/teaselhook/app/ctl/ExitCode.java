package org.teaselhook.app.ctl;

/**
 * The exit codes of {@code ctl}, as described in docs/RULES.md. Code 2 (wrong usage) comes from picocli.
 */
enum ExitCode {
    /** Done and, with {@code --wait}, in force. */
    DONE(0),
    /** An entry gave an unexpected answer, or a file cannot be read. */
    FAILED(1),
    /** The rules file has invalid lines; nothing changed. */
    BAD_RULES(3),
    /** The current version is not the expected one, or the operation id is already used; nothing changed. */
    CONFLICT(4),
    /** No entry, or no table service, could be reached; nothing changed. */
    UNREACHABLE(5),
    /** The outcome is unknown: the change may have been accepted; retry with the operation id that was printed. */
    UNSETTLED(6),
    /** Accepted, but not confirmed by every process within the wait. */
    NOT_IN_FORCE(7);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
