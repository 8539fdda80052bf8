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
        description = "Runs an entry: accepts callers' requests and dispatches them to workers.",
        mixinStandardHelpOptions = true)
final class EntryCommand implements Callable<Integer> {

    @Mixin
    private SettingsOption settings;

    @Override
    public Integer call() throws Exception {
        Optional<EntrySettings> accepted = settings.read(EntrySettings::parse);
        if (accepted.isEmpty()) {
            return 2;
        }
        EntryNode entry = EntryNode.start(accepted.get());
        return Daemon.runUntilTerminated(entry::stop);
    }
}
