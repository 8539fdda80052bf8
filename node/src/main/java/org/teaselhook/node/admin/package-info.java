/**
 * Operators' HTTP interface of an entry.
 */
package org.teaselhook.node.admin;
