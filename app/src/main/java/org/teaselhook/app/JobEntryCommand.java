package org.teaselhook.app;

import java.util.Optional;
import java.util.concurrent.Callable;

import org.teaselhook.node.job.JobEntryNode;
import org.teaselhook.node.settings.JobEntrySettings;
import org.teaselhook.platform.PlatformNodes;
import org.tinylog.jul.JulTinylogBridge;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Runs an entry on the users' platform.
 */
@Command(
        name = "job-entry",
        description = "Runs an entry on the users' platform: accepts jobs and dispatches them to workers.",
        mixinStandardHelpOptions = true)
final class JobEntryCommand implements Callable<Integer> {

    @Mixin
    private SettingsOption settings;

    @Override
    public Integer call() throws Exception {
        return run(settings);
    }

    static int run(SettingsOption settings) throws InterruptedException {
        JulTinylogBridge.activate();
        Optional<JobEntrySettings> accepted = settings.read(JobEntrySettings::parse);
        if (accepted.isEmpty()) {
            return 2;
        }
        JobEntryNode entry = PlatformNodes.startEntry(accepted.get());
        return Daemon.runUntilTerminated(
                entry::stop, settings.reload(JobEntrySettings::parse, accepted.get(), entry::reload));
    }
}
