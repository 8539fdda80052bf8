package org.teaselhook.app;

import java.util.Optional;
import java.util.concurrent.Callable;

import org.teaselhook.node.lease.LeaseAgentNode;
import org.teaselhook.node.settings.LeaseAgentSettings;
import org.teaselhook.platform.PlatformNodes;
import org.tinylog.jul.JulTinylogBridge;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Runs an agent on the users' platform.
 */
@Command(
        name = "lease-agent",
        description = "Runs an agent on the users' platform: manages the runs on a worker under leases.",
        mixinStandardHelpOptions = true)
final class LeaseAgentCommand implements Callable<Integer> {

    @Mixin
    private SettingsOption settings;

    @Override
    public Integer call() throws Exception {
        return run(settings);
    }

    static int run(SettingsOption settings) throws InterruptedException {
        JulTinylogBridge.activate();
        Optional<LeaseAgentSettings> accepted = settings.read(LeaseAgentSettings::parse);
        if (accepted.isEmpty()) {
            return 2;
        }
        LeaseAgentNode agent = PlatformNodes.startAgent(accepted.get());
        return Daemon.runUntilTerminated(
                agent::stop, settings.reload(LeaseAgentSettings::parse, accepted.get(), agent::reload));
    }
}
