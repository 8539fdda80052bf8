package org.teaselhook.app.ctl;

/**
 * The exit codes of {@code ctl}, as described in docs/RULES.md. Code 2 (wrong usage) comes from picocli.
 */
enum ExitCode {
    /** Done; with {@code --wait} also in force. */
    DONE(0),
    /** An entry answered in an unexpected way, or a file cannot be read. */
    FAILED(1),
    /** The rules file has bad lines; nothing changed. */
    BAD_RULES(3),
    /** Another version is current than the one expected, or the operation id is taken; nothing changed. */
    CONFLICT(4),
    /** No entry could be reached, or none could reach the table service, before anything was sent. */
    UNREACHABLE(5),
    /** The change may have been accepted; try again with the operation id printed. */
    UNSETTLED(6),
    /** Accepted, but some process had not confirmed when the wait ended. */
    NOT_IN_FORCE(7);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
