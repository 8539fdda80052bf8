/**
 * Settings of the daemons, read from YAML and checked as a whole.
 */
package org.teaselhook.node.settings;
