/**
 * The rules that operators write, one per line: the language, its parser and the validated rules.
 */
package org.teaselhook.core.rules;
