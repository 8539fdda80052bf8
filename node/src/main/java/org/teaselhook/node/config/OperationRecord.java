package org.teaselhook.node.config;

import org.teaselhook.core.config.ConfigVersion;

/**
 * What an operation did.
 *
 * @param version the version that it applied
 * @param request what was asked, to tell an id used for two requests
 */
record OperationRecord(ConfigVersion version, String request) {}
