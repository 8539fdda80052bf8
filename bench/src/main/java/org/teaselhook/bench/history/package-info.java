/** Records what callers, targets and operators observe in a run, and checks it for violations of the guarantees. */
package org.teaselhook.bench.history;
