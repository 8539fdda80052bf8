/**
 * The rules that operators write, one a line.
 */
package org.teaselhook.core.rules;
