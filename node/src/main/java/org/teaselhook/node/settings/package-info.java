/**
 * Settings of the daemons, read from YAML files. All faults of a file are reported together.
 */
package org.teaselhook.node.settings;
