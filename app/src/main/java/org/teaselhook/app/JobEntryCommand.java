package org.teaselhook.app;

import java.util.Optional;
import java.util.concurrent.Callable;

import org.teaselhook.node.job.JobEntryNode;
import org.teaselhook.node.settings.JobEntrySettings;
import org.teaselhook.platform.Platform;
import org.tinylog.jul.JulTinylogBridge;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Runs an entry on the users' platform.
 */
@Command(
        name = "job-entry",
        description = "Runs an entry on the users' platform: takes jobs and has workers run them.",
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
        Optional<JobEntrySettings> read = settings.read(JobEntrySettings::parse);
        if (read.isEmpty()) {
            return 2;
        }
        JobEntryNode entry = Platform.startEntry(read.get());
        return Daemon.runUntilTerminated(
                entry::stop, settings.reload(JobEntrySettings::parse, read.get(), entry::reload));
    }
}
