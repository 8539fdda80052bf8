package org.teaselhook.app;

import java.util.Optional;
import java.util.concurrent.Callable;

import org.teaselhook.node.entry.EntryNode;
import org.teaselhook.node.settings.EntrySettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Runs an entry.
 */
@Command(
        name = "entry",
        description = "Runs an entry: takes callers' requests and has workers run them.",
        mixinStandardHelpOptions = true)
final class EntryCommand implements Callable<Integer> {

    @Mixin
    private SettingsOption settings;

    @Override
    public Integer call() throws Exception {
        Optional<EntrySettings> read = settings.read(EntrySettings::parse);
        if (read.isEmpty()) {
            return 2;
        }
        EntryNode entry = EntryNode.start(read.get());
        return Daemon.runUntilTerminated(entry::stop);
    }
}
