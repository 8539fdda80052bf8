/**
 * The callers' HTTP interface: reading submissions and writing outcomes.
 */
package org.teaselhook.node.caller;
