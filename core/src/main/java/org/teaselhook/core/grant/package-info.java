/**
 * How an agent shares its free slots among entries.
 */
package org.teaselhook.core.grant;
