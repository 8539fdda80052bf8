/**
 * Cluster membership of entries: failure detection by the observed changes of their rows.
 */
package org.teaselhook.core.member;
