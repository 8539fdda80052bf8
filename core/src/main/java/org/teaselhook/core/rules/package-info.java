/**
 * The rules that operators write, one a line: the language, its parser and the checked rules.
 */
package org.teaselhook.core.rules;
