/**
 * The operators' command {@code ctl}: checks, shows and applies the rules file, and takes availability zones out of
 * service and back in.
 */
package org.teaselhook.app.ctl;
