package org.teaselhook.core.rules;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The text of a rules file, with edits that preserve all other lines and their comments. Immutable.
 *
 * <pre>{@code
 * RulesText.of(text).withZoneOut("thrissur", "Anil", "power work").text()
 * }</pre>
 */
public final class RulesText {

    private static final RulesText EMPTY = new RulesText(List.of());

    private final List<String> lines;

    private RulesText(List<String> lines) {
        this.lines = lines;
    }

    // -- factories

    /**
     * Returns the text without lines.
     *
     * @return the empty text
     */
    public static RulesText empty() {
        return EMPTY;
    }

    /**
     * Splits a text into lines, which are terminated by LF or CR LF.
     *
     * @param text the text
     * @return the lines
     */
    public static RulesText of(String text) {
        Objects.requireNonNull(text, "text is null");
        if (text.isEmpty()) {
            return EMPTY;
        }
        String body = text.endsWith("\n") ? text.substring(0, text.length() - 1) : text;
        return new RulesText(Arrays.stream(body.split("\n", -1))
                .map(line -> line.endsWith("\r") ? line.substring(0, line.length() - 1) : line)
                .toList());
    }

    // -- transformations

    /**
     * Adds a line that takes an availability zone out of service, unless there is one already.
     *
     * @param zone the zone's name
     * @param who the author; colons and control characters are replaced by spaces
     * @param why the reason; control characters are replaced by spaces
     * @return the new text; {@link RulesParser} rejects it if a part is empty or not valid
     */
    public RulesText withZoneOut(String zone, String who, String why) {
        if (isZoneOut(zone)) {
            return this;
        }
        List<String> result = new ArrayList<>(lines);
        String rule = "zone " + replaceDisallowed(zone).replace('#', '?') + " out";
        String author = replaceDisallowed(who).replace(':', ' ').trim();
        result.add(rule + "  # " + author + ": " + replaceDisallowed(why));
        return new RulesText(List.copyOf(result));
    }

    /**
     * Removes the lines that take an availability zone out of service.
     *
     * @param zone the zone's name
     * @return the new text
     */
    public RulesText withZoneIn(String zone) {
        if (!isZoneOut(zone)) {
            return this;
        }
        return new RulesText(lines.stream()
                .filter(line -> !RuleLine.of(0, line).isZoneOut(zone))
                .toList());
    }

    // -- accessors

    /**
     * Tells whether a line takes an availability zone out of service.
     *
     * @param zone the zone's name
     * @return true if there is such a line
     */
    public boolean isZoneOut(String zone) {
        return lines.stream().anyMatch(line -> RuleLine.of(0, line).isZoneOut(zone));
    }

    /**
     * Returns the lines.
     *
     * @return the lines without their terminators
     */
    public List<String> lines() {
        return lines;
    }

    /**
     * Returns the complete text, each line terminated by LF.
     *
     * @return the text
     */
    public String text() {
        return lines.isEmpty() ? "" : String.join("\n", lines) + "\n";
    }

    private static String replaceDisallowed(String text) {
        StringBuilder result = new StringBuilder();
        text.chars().forEach(c -> result.append(RuleLine.isAllowed((char) c) ? (char) c : ' '));
        return result.toString().trim();
    }
}
