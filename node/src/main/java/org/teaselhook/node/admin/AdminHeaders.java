package org.teaselhook.node.admin;

import java.util.Optional;

import org.teaselhook.core.config.ConfigVersion;

/**
 * Header names of operators' requests and responses, in lower case.
 */
public final class AdminHeaders {

    /** The version that a new rules file is based on. */
    public static final String EXPECTED_VERSION = "teaselhook-expected-version";

    /** The operation id of a change, the same for each retry. */
    public static final String OPERATION = "teaselhook-operation";

    /** The operator who requests a change. */
    public static final String AUTHOR = "teaselhook-author";

    /** The version of the rules file in a response. */
    public static final String VERSION = "teaselhook-version";

    /** The source of the rules file in a response, {@code table-service} or {@code entry}. */
    public static final String SOURCE = "teaselhook-source";

    private static final int MAX_AUTHOR_CHARS = 64;
    private static final int MAX_DIGITS = 18;

    private AdminHeaders() {}

    static Optional<ConfigVersion> parseVersion(String text) {
        boolean digits =
                !text.isEmpty() && text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return digits ? Optional.of(ConfigVersion.of(Long.parseLong(text))) : Optional.empty();
    }

    static boolean isValidAuthor(String text) {
        return !text.isBlank()
                && text.length() <= MAX_AUTHOR_CHARS
                && text.chars().allMatch(c -> c >= ' ' && c < 0x7f && c != ':');
    }
}
