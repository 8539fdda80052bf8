/**
 * The operators' command: checks, shows and applies the rules file, takes availability zones out and brings them back.
 */
package org.teaselhook.app.ctl;
