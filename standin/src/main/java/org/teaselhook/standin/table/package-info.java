/**
 * A stand-in for the platform's table service, in memory, with faults on demand.
 */
package org.teaselhook.standin.table;
