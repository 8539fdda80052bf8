package org.teaselhook.node.admin;

import java.util.Objects;

import org.teaselhook.core.config.ConfigVersion;

/**
 * The status of a process as observed by an entry.
 *
 * @param kind entry or agent
 * @param name the process's name
 * @param zone its availability zone
 * @param version the newest configuration version that it has confirmed; version 0 if none
 * @param condition its condition
 * @param slots the number of slots, 0 for an entry
 */
public record ProcessStatus(
        ProcessKind kind, String name, String zone, ConfigVersion version, ProcessCondition condition, int slots) {

    /** Checks that nothing is null. */
    public ProcessStatus {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(condition, "condition is null");
    }

    /**
     * Tells whether the process has not yet confirmed a version.
     *
     * @param wanted the version
     * @return true if it has confirmed only older ones
     */
    public boolean isBehind(ConfigVersion wanted) {
        return version.isOlderThan(wanted);
    }
}
