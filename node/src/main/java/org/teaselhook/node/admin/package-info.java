/**
 * The HTTP interface of an entry for operators.
 */
package org.teaselhook.node.admin;
