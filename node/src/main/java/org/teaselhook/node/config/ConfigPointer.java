package org.teaselhook.node.config;

import org.teaselhook.core.config.ConfigVersion;

/**
 * The row that names the current version.
 *
 * @param version the current version
 * @param operation the operation that applied it; empty if there is none
 * @param rowVersion the row's version in the table service, 0 if there is no row
 */
record ConfigPointer(ConfigVersion version, String operation, long rowVersion) {

    private static final ConfigPointer NONE = new ConfigPointer(ConfigVersion.NONE, "", 0);

    static ConfigPointer none() {
        return NONE;
    }
}
