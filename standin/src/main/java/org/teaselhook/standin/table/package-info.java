/**
 * An in-memory stand-in for the platform's table service that can inject faults.
 */
package org.teaselhook.standin.table;
