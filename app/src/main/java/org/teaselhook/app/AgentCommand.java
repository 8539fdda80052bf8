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
        description = "Runs an agent beside targets: starts tasks on them for the entries.",
        mixinStandardHelpOptions = true)
final class AgentCommand implements Callable<Integer> {

    @Mixin
    private SettingsOption settings;

    @Override
    public Integer call() throws Exception {
        Optional<AgentSettings> read = settings.read(AgentSettings::parse);
        if (read.isEmpty()) {
            return 2;
        }
        AgentNode agent = AgentNode.start(read.get());
        return Daemon.runUntilTerminated(agent::stop);
    }
}
