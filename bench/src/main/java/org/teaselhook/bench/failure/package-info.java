/** A long randomised run of a whole site under faults, whose history is checked. */
package org.teaselhook.bench.failure;
