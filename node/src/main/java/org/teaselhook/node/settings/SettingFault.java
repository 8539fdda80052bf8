package org.teaselhook.node.settings;

import java.util.Objects;

/**
 * A fault in a settings file.
 *
 * @param path the path of the setting, such as {@code limits.max-body-bytes}; {@code (file)} for the whole file
 * @param value the value found, truncated; empty if there is none
 * @param kind the kind of fault
 * @param remedy what to write instead
 */
public record SettingFault(String path, String value, SettingFaultKind kind, String remedy) {

    private static final int MAX_VALUE_CHARS = 80;

    /** Truncates the value. */
    public SettingFault {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(remedy, "remedy is null");
        value = value.length() > MAX_VALUE_CHARS ? value.substring(0, MAX_VALUE_CHARS) + "..." : value;
    }

    /**
     * Returns the fault as one line for an operator.
     *
     * @return such as {@code slots: 0 is out of range; write a whole number from 1 to 4096}
     */
    public String message() {
        return path + ": " + (value.isEmpty() ? "" : value + " ") + kind.text() + "; " + remedy;
    }
}
