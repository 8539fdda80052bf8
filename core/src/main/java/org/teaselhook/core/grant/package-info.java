/**
 * The allocation of an agent's free slots to entries.
 */
package org.teaselhook.core.grant;
