/** Records what callers, targets and operators saw in a run, and checks it against what must always hold. */
package org.teaselhook.bench.history;
