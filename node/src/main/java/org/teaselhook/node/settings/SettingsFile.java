package org.teaselhook.node.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;

/**
 * Reads settings files.
 */
public final class SettingsFile {

    private SettingsFile() {}

    /**
     * Reads a settings file.
     *
     * @param <T> the type of the settings
     * @param file the YAML file
     * @param parse parses its text, such as {@code EntrySettings::parse}
     * @return the settings, or all faults; an unreadable file is a fault
     */
    public static <T> SettingsResult<T> read(Path file, Function<String, SettingsResult<T>> parse) {
        try {
            return parse.apply(Files.readString(file));
        } catch (CharacterCodingException e) {
            return unreadable(file, "save the file as UTF-8");
        } catch (IOException e) {
            return unreadable(file, "check the path and its permissions");
        }
    }

    private static <T> SettingsResult<T> unreadable(Path file, String remedy) {
        SettingFault fault = new SettingFault("(file)", file.toString(), SettingFaultKind.UNREADABLE, remedy);
        return new SettingsResult.Rejected<>(List.of(fault));
    }
}
