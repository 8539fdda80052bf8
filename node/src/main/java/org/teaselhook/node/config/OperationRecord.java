package org.teaselhook.node.config;

import org.teaselhook.core.config.ConfigVersion;

/**
 * The outcome of an operation.
 *
 * @param version the version that it applied, or the version at which it changed nothing
 * @param request describes the request, to detect an operation id that is reused for another one
 */
record OperationRecord(ConfigVersion version, String request) {}
