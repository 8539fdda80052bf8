/**
 * Measures how soon an accepted configuration is in force at every process, and what a change costs.
 */
package org.teaselhook.bench.config;
