/**
 * The configuration and the entries' heartbeats in the table service: applies changes, polls for them and writes
 * heartbeats.
 */
package org.teaselhook.node.config;
