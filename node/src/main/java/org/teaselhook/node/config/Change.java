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
 * A change that an operator asked for.
 *
 * @param operation the operation's id
 * @param author who asked
 * @param request what was asked, to tell an id used for two requests
 * @param expected the version that the change builds on; empty if it can be made on any
 * @param edit makes the new text from the current one
 */
record Change(
        String operation,
        String author,
        String request,
        Optional<ConfigVersion> expected,
        UnaryOperator<RulesText> edit) {

    static Change replace(ConfigVersion expected, String text, String operation, String author) {
        RulesText rules = RulesText.of(text);
        return new Change(operation, author, "rules " + digest(rules.text()), Optional.of(expected), old -> rules);
    }

    boolean mayBuildOn(ConfigVersion current) {
        return expected.isEmpty() || expected.get().equals(current);
    }

    private static String digest(String text) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
