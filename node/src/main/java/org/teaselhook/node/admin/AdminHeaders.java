package org.teaselhook.node.admin;

import java.util.Optional;

import org.teaselhook.core.config.ConfigVersion;

/**
 * Names of headers of operators' requests and responses, in lower case.
 */
public final class AdminHeaders {

    /** The version that a new rules file was made from. */
    public static final String EXPECTED_VERSION = "teaselhook-expected-version";

    /** The id of a change, the same for each try of it. */
    public static final String OPERATION = "teaselhook-operation";

    /** Who asks for a change. */
    public static final String AUTHOR = "teaselhook-author";

    /** The version of the rules file in a response. */
    public static final String VERSION = "teaselhook-version";

    /** Where the rules file in a response was read, {@code table-service} or {@code entry}. */
    public static final String SOURCE = "teaselhook-source";

    private static final int MAX_AUTHOR_CHARS = 64;
    private static final int MAX_DIGITS = 18;

    private AdminHeaders() {}

    static Optional<ConfigVersion> version(String text) {
        boolean digits =
                !text.isEmpty() && text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return digits ? Optional.of(ConfigVersion.of(Long.parseLong(text))) : Optional.empty();
    }

    static boolean isAuthor(String text) {
        return !text.isBlank()
                && text.length() <= MAX_AUTHOR_CHARS
                && text.chars().allMatch(c -> c >= ' ' && c < 0x7f && c != ':');
    }
}
