package org.teaselhook.node.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.rules.RulesText;

/**
 * A configuration change requested by an operator.
 *
 * @param operation the operation's id
 * @param author the operator
 * @param request describes the request, to detect an operation id that is reused for another one
 * @param expected the version that the change is based on; empty if it applies to any version
 * @param edit derives the new text from the current one
 */
record ConfigChange(
        String operation,
        String author,
        String request,
        Optional<ConfigVersion> expected,
        UnaryOperator<RulesText> edit) {

    static ConfigChange replace(ConfigVersion expected, String text, String operation, String author) {
        RulesText rules = RulesText.of(text);
        return new ConfigChange(
                operation, author, "rules " + digest(rules.text()), Optional.of(expected), old -> rules);
    }

    boolean isApplicableTo(ConfigVersion current) {
        return expected.isEmpty() || expected.get().equals(current);
    }

    private static String digest(String text) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
