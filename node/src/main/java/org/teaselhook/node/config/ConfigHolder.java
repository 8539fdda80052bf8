package org.teaselhook.node.config;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.teaselhook.core.config.ConfigOfferResult;
import org.teaselhook.core.config.ConfigState;
import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.config.VersionedRules;
import org.teaselhook.core.rules.RuleFault;
import org.teaselhook.core.rules.RulesParser;
import org.teaselhook.core.rules.RulesResult;
import org.teaselhook.net.log.LogLine;

/**
 * Holds the configuration of a running process. Accepts rules files from the table service and from other processes,
 * and notifies a listener of each change. Confined to the control thread.
 */
public final class ConfigHolder {

    private final ConfigState state;
    private final Consumer<VersionedRules> listener;

    private ConfigHolder(ConfigState state, Consumer<VersionedRules> listener) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    // -- factories

    /**
     * Returns a holder.
     *
     * @param state holds the newest configuration
     * @param listener notified of each change, on the control thread
     * @return the holder
     */
    public static ConfigHolder of(ConfigState state, Consumer<VersionedRules> listener) {
        return new ConfigHolder(state, listener);
    }

    // -- events

    /**
     * Adopts an accepted rules file if it is newer than the one held. A text that this program version cannot parse is
     * dropped, but its version is noted, so the process counts as behind.
     *
     * @param version the version
     * @param text the complete rules file
     * @param operation the operation that applied it
     * @return the result of the offer
     */
    public ConfigOfferResult offer(ConfigVersion version, String text, String operation) {
        state.noteVersion(version);
        if (version.isOlderThan(state.version())) {
            return ConfigOfferResult.OLDER;
        }
        RulesResult result = RulesParser.parse(text);
        return result.fold(
                rules -> offer(new VersionedRules(version, text, operation, rules)),
                faults -> rejectUnreadable(version, faults));
    }

    /**
     * Adopts an accepted rules file if it is newer than the one held.
     *
     * @param offered the rules file
     * @return the result of the offer
     */
    public ConfigOfferResult offer(VersionedRules offered) {
        ConfigOfferResult result = state.offer(offered);
        if (result.isChange()) {
            LogLine.of("config-applied")
                    .with("version", offered.version())
                    .with("operation", offered.operation())
                    .with("zones-out", offered.rules().zonesOut())
                    .info();
            listener.accept(offered);
        }
        if (result == ConfigOfferResult.CONTRADICTS) {
            LogLine.of("config-contradicts")
                    .with("version", offered.version())
                    .with("operation", offered.operation())
                    .with("held-operation", state.current().operation())
                    .with("remedy", "compare the history with `ctl rules history`, then apply the correct file again")
                    .warn();
        }
        return result;
    }

    private ConfigOfferResult rejectUnreadable(ConfigVersion version, List<RuleFault> faults) {
        LogLine.of("config-unreadable")
                .with("version", version)
                .with("faults", faults.size())
                .with("first", faults.get(0).message())
                .with(
                        "remedy",
                        "run the same program version on all processes, or apply a file without the reported lines")
                .warn();
        return ConfigOfferResult.CONTRADICTS;
    }

    // -- accessors

    /**
     * Returns the state.
     *
     * @return the configuration held and the newest version known to exist
     */
    public ConfigState state() {
        return state;
    }
}
