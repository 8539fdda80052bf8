/**
 * Measures how soon an accepted configuration is in force at every process and the cost of a change, and checks that no
 * accepted change is lost when operators race each other.
 */
package org.teaselhook.bench.config;
