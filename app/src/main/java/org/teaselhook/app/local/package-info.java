/**
 * A whole site in one process on stand-ins, for a first look.
 */
package org.teaselhook.app.local;
