/**
 * Simulated targets with configurable run times, failures and missing answers, which report every start.
 */
package org.teaselhook.standin.target;
