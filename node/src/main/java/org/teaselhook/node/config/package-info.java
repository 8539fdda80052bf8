/**
 * The configuration and the entries' liveness in the table service: applying changes, following them, beating.
 */
package org.teaselhook.node.config;
