/**
 * Amounts of processor, memory and accelerators that tasks ask for and workers have.
 */
package org.teaselhook.core.amount;
