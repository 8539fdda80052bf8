/**
 * Amounts of processor time, memory and accelerators that tasks use and workers have.
 */
package org.teaselhook.core.amount;
