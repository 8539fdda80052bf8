/**
 * A complete cluster with stand-ins in one process, for trying out the system.
 */
package org.teaselhook.app.local;
