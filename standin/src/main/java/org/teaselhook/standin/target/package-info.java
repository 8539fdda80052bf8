/**
 * Targets with adjustable run time, failures and silence, which record every start.
 */
package org.teaselhook.standin.target;
