package org.teaselhook.app;

import java.util.Optional;
import java.util.concurrent.Callable;

import org.teaselhook.node.agent.AgentNode;
import org.teaselhook.node.settings.AgentSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Runs an agent.
 */
@Command(
        name = "agent",
        description = "Runs an agent next to targets: starts the tasks that entries dispatch to them.",
        mixinStandardHelpOptions = true)
final class AgentCommand implements Callable<Integer> {

    @Mixin
    private SettingsOption settings;

    @Override
    public Integer call() throws Exception {
        Optional<AgentSettings> accepted = settings.read(AgentSettings::parse);
        if (accepted.isEmpty()) {
            return 2;
        }
        AgentNode agent = AgentNode.start(accepted.get());
        return Daemon.runUntilTerminated(agent::stop);
    }
}
