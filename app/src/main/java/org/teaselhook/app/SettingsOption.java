package org.teaselhook.app;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.settings.SettingFault;
import org.teaselhook.node.settings.SettingsFile;
import org.teaselhook.node.settings.SettingsResult;
import picocli.CommandLine.Option;

/**
 * The option for the settings file of a daemon.
 */
final class SettingsOption {

    @Option(
            names = {"-s", "--settings"},
            required = true,
            paramLabel = "FILE",
            description = "The settings file, in YAML.")
    private Path file;

    static SettingsOption of(Path file) {
        SettingsOption option = new SettingsOption();
        option.file = file;
        return option;
    }

    /** Reads the settings; prints every fault to standard error and returns empty if there is any. */
    <T> Optional<T> read(Function<String, SettingsResult<T>> parse) {
        return SettingsFile.read(file, parse).fold(Optional::of, this::report);
    }

    /**
     * Returns an action that reads the file again and applies the settings that can change while the process runs. A
     * file with faults changes nothing.
     */
    <T> Runnable reload(Function<String, SettingsResult<T>> parse, T initial, Consumer<T> apply) {
        return () -> {
            Optional<T> next = SettingsFile.read(file, parse).fold(Optional::of, this::report);
            LogLine.of("settings-reloaded")
                    .with("accepted", next.isPresent())
                    .with(
                            "changed",
                            next.filter(settings -> !settings.equals(initial)).isPresent())
                    .info();
            next.ifPresent(apply);
        };
    }

    private <T> Optional<T> report(List<SettingFault> faults) {
        System.err.println(file + " has " + faults.size() + " fault(s):");
        faults.forEach(fault -> System.err.println("  " + fault.message()));
        return Optional.empty();
    }
}
